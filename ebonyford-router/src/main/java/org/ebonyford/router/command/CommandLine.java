package org.ebonyford.router.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/**
 * Reads the command line, runs one command and prints its answer.
 */
public final class CommandLine {

	/**
	 * The name of the program.
	 */
	private static final String PROGRAM = "ebonyford";

	/**
	 * The words that ask for help.
	 */
	private static final List<String> HELP = List.of("help", "--help", "-h");

	/**
	 * What commands work with.
	 */
	private final CommandEnvironment environment;

	/**
	 * Takes answers.
	 */
	private final PrintStream out;

	/**
	 * Takes failures.
	 */
	private final PrintStream err;

	/**
	 * The commands.
	 */
	private final Cli<Operation> cli = commands();

	/**
	 * Creates a command line.
	 * @param environment what commands work with
	 * @param out takes answers
	 * @param err takes failures
	 */
	public CommandLine(CommandEnvironment environment, PrintStream out, PrintStream err) {
		this.environment = environment;
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs one command.
	 * @param arguments the command and its options
	 * @return the exit code
	 */
	public ExitCode run(String... arguments) {
		if (arguments.length == 0) {
			this.err.print(help(List.of()));
			return ExitCode.USAGE;
		}
		if (Stream.of(arguments).anyMatch(HELP::contains)) {
			this.out.print(help(topic(arguments)));
			return ExitCode.OK;
		}
		try {
			return print(this.cli.parse(arguments));
		}
		catch (ParseException ex) {
			this.err.println(ex.getMessage());
			this.err.println("See " + PROGRAM + " help.");
			return ExitCode.USAGE;
		}
	}

	private ExitCode print(Operation operation) {
		Answer answer = operation.run(this.environment);
		PrintStream stream = (operation.json() || answer.exitCode() == ExitCode.OK) ? this.out : this.err;
		if (operation.json()) {
			stream.println(json(answer));
		}
		else {
			answer.lines().forEach(stream::println);
		}
		stream.flush();
		return answer.exitCode();
	}

	private static String json(Answer answer) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("exitCode", answer.exitCode().number());
		document.putAll(answer.fields());
		try {
			return new ObjectMapper().writeValueAsString(document);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static List<String> topic(String... arguments) {
		List<String> topic = new ArrayList<>(List.of(arguments));
		topic.removeIf((argument) -> HELP.contains(argument) || argument.startsWith("-"));
		return topic;
	}

	private String help(List<String> topic) {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		try {
			Help.help(this.cli.getMetadata(), topic, text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return text.toString(StandardCharsets.UTF_8);
	}

	private static Cli<Operation> commands() {
		CliBuilder<Operation> builder = Cli.<Operation>builder(PROGRAM)
			.withDescription("Routes requests of many organisations to shared engines and services.")
			.withCommands(List.of(RouterOperation.class, CheckOperation.class, PublishOperation.class,
					ShowOperation.class, StatusOperation.class, EvidenceOperation.class, SettingsOperation.class,
					ExplainOperation.class));
		builder.withGroup("dc")
			.withDescription("Takes data centres out of service and back.")
			.withCommands(List.of(TakeOutOperation.DataCentreOut.class, TakeOutOperation.DataCentreIn.class));
		builder.withGroup("vm")
			.withDescription("Takes VMs of the system out of service and back.")
			.withCommands(List.of(TakeOutOperation.VmOut.class, TakeOutOperation.VmIn.class));
		builder.withGroup("upstream")
			.withDescription("Takes upstreams out of service and back.")
			.withCommands(List.of(TakeOutOperation.UpstreamOut.class, TakeOutOperation.UpstreamIn.class));
		return builder.build();
	}

}
