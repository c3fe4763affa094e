package org.ebonyford.emulator.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A process of a Java program, which ends with the process that started it.
 */
public final class OwnedProcess implements AutoCloseable {

	/**
	 * The processes that run.
	 */
	private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

	/**
	 * The seconds that a killed process may take to end.
	 */
	private static final long KILL_SECONDS = 30;

	static {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
	}

	/**
	 * The name of the process.
	 */
	private final String name;

	/**
	 * The process.
	 */
	private final Process process;

	/**
	 * The file that takes what the process writes.
	 */
	private final Path output;

	/**
	 * The first line of JSON that the process wrote.
	 */
	private final CompletableFuture<String> firstLine = new CompletableFuture<>();

	private OwnedProcess(String name, Process process, Path output) {
		this.name = name;
		this.process = process;
		this.output = output;
	}

	/**
	 * Starts a Java program.
	 * @param name the name of the process
	 * @param directory the directory that takes what the process writes
	 * @param options the options of the Java virtual machine, its class path or file
	 * included
	 * @param arguments the arguments of the program
	 * @return the process
	 */
	public static OwnedProcess java(String name, Path directory, List<String> options, List<String> arguments) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(options);
		command.addAll(arguments);
		try {
			Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
			RUNNING.add(process);
			process.onExit().thenAccept(RUNNING::remove);
			OwnedProcess owned = new OwnedProcess(name, process, directory.resolve(name + ".out"));
			owned.follow();
			return owned;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the name of the process.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the number of the process.
	 * @return the number
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns whether the process runs.
	 * @return {@code false} once it has ended
	 */
	public boolean alive() {
		return this.process.isAlive();
	}

	/**
	 * Sends a signal.
	 * @param signal the signal
	 */
	public void signal(Signal signal) {
		signal.send(this.process);
	}

	/**
	 * Waits for the end of the process.
	 * @param seconds the seconds to wait at most
	 * @return the exit code
	 * @throws IllegalStateException if the process has not ended by then
	 */
	public int awaitExit(long seconds) {
		try {
			if (this.process.waitFor(seconds, TimeUnit.SECONDS)) {
				return this.process.exitValue();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		throw new IllegalStateException(this.name + " still runs");
	}

	/**
	 * Waits for the first line of JSON that the process writes.
	 * @param seconds the seconds to wait at most
	 * @return the line
	 * @throws IllegalStateException if the process has not written one by then
	 */
	public String awaitLine(long seconds) {
		try {
			return this.firstLine.get(seconds, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException(this.name + " said nothing: " + output(), ex);
		}
	}

	/**
	 * Returns what the process wrote so far.
	 * @return the text, empty if there is none
	 */
	public String output() {
		try {
			return Files.exists(this.output) ? Files.readString(this.output) : "";
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
		awaitExit(KILL_SECONDS);
	}

	private void follow() {
		Thread thread = new Thread(this::copyOutput, "output of " + this.name);
		thread.setDaemon(true);
		thread.start();
	}

	private void copyOutput() {
		try (BufferedReader reader = this.process.inputReader(StandardCharsets.UTF_8);
				var writer = Files.newBufferedWriter(this.output, StandardOpenOption.CREATE,
						StandardOpenOption.APPEND)) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				writer.write(line);
				writer.newLine();
				writer.flush();
				if (line.startsWith("{")) {
					this.firstLine.complete(line);
				}
			}
		}
		catch (IOException ex) {
			this.firstLine.completeExceptionally(ex);
		}
		this.firstLine.completeExceptionally(new IOException(this.name + " ended"));
	}

}
