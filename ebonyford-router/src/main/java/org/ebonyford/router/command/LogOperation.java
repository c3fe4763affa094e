package org.ebonyford.router.command;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.router.control.ControlPublisher;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.settings.RouterKeys;

/**
 * A command that works with the log service.
 */
abstract class LogOperation extends AbstractOperation {

	/**
	 * The environment variable that holds the address of the log service.
	 */
	static final String LOG_VARIABLE = "EBONYFORD_LOG";

	/**
	 * How long one call of the log service may take.
	 */
	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	/**
	 * The address of the log service.
	 */
	@Option(name = "--log", title = "URL",
			description = "The address of the log service; without it that of the environment variable EBONYFORD_LOG.")
	private String log;

	/**
	 * Who makes the change.
	 */
	@Option(name = "--author", title = "NAME",
			description = "Who makes the change; without it the name of the system's user.")
	private String author;

	/**
	 * Returns the client of the log service.
	 * @param environment what the command works with
	 * @return the client
	 */
	final LogClient client(CommandEnvironment environment) {
		URI address = Optional.ofNullable(this.log)
			.or(() -> environment.variables().apply(LOG_VARIABLE))
			.flatMap(RouterKeys.Platform.LOG.format()::parse)
			.orElseThrow(() -> new CommandException(
					"Give --log or set " + LOG_VARIABLE + " to " + RouterKeys.Platform.LOG.format().expected()));
		return environment.logs().apply(address);
	}

	/**
	 * Returns the publisher of changes.
	 * @param environment what the command works with
	 * @return the publisher
	 */
	final ControlPublisher publisher(CommandEnvironment environment) {
		return new ControlPublisher(client(environment), TIMEOUT,
				Optional.ofNullable(this.author).orElse(environment.user()), environment.names(), environment.pause());
	}

}
