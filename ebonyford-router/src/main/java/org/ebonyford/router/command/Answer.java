package org.ebonyford.router.command;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What a command answers.
 *
 * @param exitCode the exit code
 * @param lines the answer as lines of text
 * @param fields the answer as fields for programs
 */
record Answer(ExitCode exitCode, List<String> lines, Map<String, Object> fields) {

	/**
	 * Creates an answer.
	 */
	Answer {
		Objects.requireNonNull(exitCode, "exitCode");
		lines = List.copyOf(lines);
		fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
	}

	/**
	 * Creates an answer that the command did what was asked.
	 * @param line the answer as text
	 * @param fields the answer as fields for programs
	 * @return the answer
	 */
	static Answer ok(String line, Map<String, Object> fields) {
		return new Answer(ExitCode.OK, List.of(line), fields);
	}

	/**
	 * Creates an answer that the command failed.
	 * @param exitCode the exit code
	 * @param reason why it failed
	 * @return the answer
	 */
	static Answer failed(ExitCode exitCode, String reason) {
		return new Answer(exitCode, List.of(reason), Map.of("reason", reason));
	}

}
