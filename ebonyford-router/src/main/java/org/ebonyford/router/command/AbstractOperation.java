package org.ebonyford.router.command;

import java.io.UncheckedIOException;

import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.finding.FindingsException;
import org.ebonyford.router.log.LogException;

/**
 * A command that tells its failures as answers.
 */
abstract class AbstractOperation implements Operation {

	/**
	 * Whether the answer is written for programs.
	 */
	@Option(name = "--json", description = "Answers with one JSON object.")
	private boolean json;

	@Override
	public final Answer run(CommandEnvironment environment) {
		try {
			return answer(environment);
		}
		catch (FindingsException ex) {
			return Answers.findings(ex.findings());
		}
		catch (LogException | UnreachableException ex) {
			return Answer.failed(ExitCode.UNREACHABLE, ex.getMessage());
		}
		catch (UncheckedIOException | CommandException ex) {
			return Answer.failed(ExitCode.REFUSED, ex.getMessage());
		}
	}

	@Override
	public final boolean json() {
		return this.json;
	}

	/**
	 * Runs the command.
	 * @param environment what the command works with
	 * @return what the command answers
	 */
	abstract Answer answer(CommandEnvironment environment);

}
