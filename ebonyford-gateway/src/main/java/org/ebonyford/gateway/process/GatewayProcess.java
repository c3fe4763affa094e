package org.ebonyford.gateway.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import sun.misc.Signal;

import org.ebonyford.finding.Findings;
import org.ebonyford.finding.FindingsException;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.settings.GatewaySettings;
import org.ebonyford.gateway.wire.Adapter;
import org.ebonyford.time.Clock;

/**
 * Runs a gateway as a process: reads the settings, handles signals, and returns a
 * non-zero exit status if the gateway cannot start.
 */
public final class GatewayProcess {

	/**
	 * Timeout in milliseconds for writing the last log lines.
	 */
	private static final long LOG_FLUSH_TIMEOUT_MILLIS = 200;

	private GatewayProcess() {
	}

	/**
	 * Starts a gateway, which runs until the process is terminated.
	 * @param file the settings file
	 * @param adapter the adapter to the platform
	 * @return 0 if the gateway runs, otherwise the exit status of the process
	 */
	public static int run(Path file, Adapter adapter) {
		GatewaySettings settings;
		try {
			settings = read(file);
		}
		catch (IOException | FindingsException ex) {
			System.err.println("The gateway cannot run: " + ex.getMessage());
			return 1;
		}
		EventLog log = new EventLog(settings.name(), Clock.ForEpoch.INSTANCE, System.out);
		Gateway gateway = new Gateway(settings, adapter, Clock.ForSystem.INSTANCE, Clock.ForEpoch.INSTANCE, log);
		try {
			gateway.start();
		}
		catch (RuntimeException ex) {
			return failStart(log, ex);
		}
		catch (Exception ex) {
			// Netty throws the checked exception for a port in use without declaring it.
			return failStart(log, ex);
		}
		Signal.handle(new Signal("HUP"), (signal) -> reload(file, settings, log));
		Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(gateway, settings, log), "end"));
		return 0;
	}

	private static int failStart(EventLog log, Exception cause) {
		log.write(LogLine.of(GatewayEvent.CANNOT_RUN).with("reason", String.valueOf(cause.getMessage())));
		log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
		System.err.println("The gateway cannot run: " + cause.getMessage());
		return 1;
	}

	private static GatewaySettings read(Path file) throws IOException {
		Findings findings = new Findings();
		GatewaySettings settings = GatewaySettings.read(file.getFileName().toString(), Files.readString(file),
				findings);
		findings.throwIfAny();
		return settings;
	}

	private static void reload(Path file, GatewaySettings running, EventLog log) {
		LogLine line = LogLine.of(GatewayEvent.RELOADED);
		try {
			boolean changed = !read(file).equals(running);
			log.write(line.with("taken", !changed)
				.with("reason", changed ? "the settings have changed; restart the gateway to apply them"
						: "the settings have not changed"));
		}
		catch (IOException | FindingsException ex) {
			log.write(line.with("taken", false).with("reason", String.valueOf(ex.getMessage())));
		}
	}

	private static void shutDown(Gateway gateway, GatewaySettings settings, EventLog log) {
		try {
			gateway.shutDown().get(settings.graceMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			System.err.println("The gateway stops before its open requests have finished: " + ex);
		}
		log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
	}

}
