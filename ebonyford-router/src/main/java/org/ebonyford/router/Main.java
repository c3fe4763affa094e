package org.ebonyford.router;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import io.dropwizard.logging.common.BootstrapLogging;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.ebonyford.router.command.CommandEnvironment;
import org.ebonyford.router.command.CommandLine;
import org.ebonyford.router.command.HttpFetcher;
import org.ebonyford.router.command.TextFiles;
import org.ebonyford.router.log.HttpLogClient;
import org.ebonyford.router.log.LogTimeouts;
import org.ebonyford.router.process.DropwizardLauncher;
import org.ebonyford.router.settings.RouterSettingsReader;

/**
 * The entry point of the program.
 */
public final class Main {

	/**
	 * The milliseconds before a record is appended again whose fate is not known.
	 */
	private static final long APPEND_PAUSE_MILLIS = 250;

	/**
	 * How long a connection and an answer may take each where a command reads a document.
	 */
	private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(3);

	private Main() {
	}

	/**
	 * Runs the program.
	 * @param arguments the command and its options
	 */
	public static void main(String[] arguments) {
		BootstrapLogging.bootstrap(Level.INFO);
		((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
		CommandLine line = new CommandLine(environment(), System.out, System.err);
		System.exit(line.run(arguments).number());
	}

	private static CommandEnvironment environment() {
		Map<String, String> variables = System.getenv();
		return new CommandEnvironment(TextFiles.ForFileSystem.INSTANCE, RouterSettingsReader.ofProcess(),
				(name) -> Optional.ofNullable(variables.get(name)),
				(address) -> HttpLogClient.of(address, LogTimeouts.DEFAULT), new HttpFetcher(HTTP_TIMEOUT),
				DropwizardLauncher.INSTANCE, System.getProperty("user.name"), () -> UUID.randomUUID().toString(),
				Main::pause);
	}

	private static void pause() {
		try {
			Thread.sleep(APPEND_PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
