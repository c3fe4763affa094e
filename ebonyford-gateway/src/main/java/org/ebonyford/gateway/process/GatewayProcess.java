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
 * A gateway as a process: it reads its settings, answers signals, and ends with a status
 * that is not 0 if it cannot run.
 */
public final class GatewayProcess {

	/**
	 * The longest time in milliseconds for writing the last lines of the log.
	 */
	private static final long LOG_FLUSH_TIMEOUT_MILLIS = 200;

	private GatewayProcess() {
	}

	/**
	 * Runs a gateway until it is asked to end.
	 * @param file the settings file
	 * @param adapter the adapter to the platform
	 * @return the status with which the process ends if it cannot run, 0 if it runs
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
			// Netty throws the checked exception of a port in use without declaring it.
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
				.with("reason",
						changed ? "the settings differ; they are taken at the next start" : "nothing has changed"));
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
			System.err.println("The gateway ends without finishing its requests: " + ex);
		}
		log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
	}

}
