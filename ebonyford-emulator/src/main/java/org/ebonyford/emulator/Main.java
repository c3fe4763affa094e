package org.ebonyford.emulator;

import ch.qos.logback.classic.Level;
import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.dropwizard.logging.common.BootstrapLogging;

import org.ebonyford.emulator.demo.DemoCommand;
import org.ebonyford.emulator.experiment.ExperimentCommand;
import org.ebonyford.emulator.standin.StandInCommand;

/**
 * The entry point of the program.
 */
public final class Main {

	/**
	 * The exit code for a command line that is not understood.
	 */
	private static final int USAGE = 2;

	private Main() {
	}

	/**
	 * Runs the program.
	 * @param arguments the command and its options
	 */
	public static void main(String[] arguments) {
		BootstrapLogging.bootstrap(Level.WARN);
		try {
			cli().parse(arguments).run();
			System.exit(0);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			System.exit(USAGE);
		}
		catch (RuntimeException ex) {
			ex.printStackTrace();
			System.exit(1);
		}
	}

	@SuppressWarnings("unchecked")
	private static Cli<Runnable> cli() {
		CliBuilder<Runnable> builder = Cli.<Runnable>builder("ebonyford-emulator")
			.withDescription("Stand-ins for the platform and the upstreams, with a load and experiment tool")
			.withDefaultCommand(Help.class)
			.withCommands(Help.class, StandInCommand.class, DemoCommand.class, ExperimentCommand.class);
		return builder.build();
	}

}
