package org.ebonyford.router.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import org.ebonyford.router.explain.RequestStory;

/**
 * Tells what became of a request.
 */
@Command(name = "explain", description = "Tells from log files, in order, what became of a request and why.")
public class ExplainOperation extends AbstractOperation {

	/**
	 * The identifier of the request.
	 */
	@Option(name = "--request", title = "ID", description = "The identifier of the request.")
	@Required
	private String request;

	/**
	 * The log files.
	 */
	@Arguments(title = "LOGFILE", description = "Log files of gateways.")
	@Required
	private List<String> logs = new ArrayList<>();

	@Override
	Answer answer(CommandEnvironment environment) {
		RequestStory story = RequestStory.of(this.request, this.logs.stream().map(environment.files()::read).toList());
		if (story.lines().isEmpty()) {
			throw new CommandException("No line of the logs tells of request " + this.request
					+ "; of plain successes only some are logged, and " + story.damaged() + " lines could not be read");
		}
		List<String> lines = new ArrayList<>(story.lines());
		if (story.damaged() > 0) {
			lines.add(story.damaged() + " lines could not be read and were left out");
		}
		return new Answer(ExitCode.OK, lines, Map.of("lines", story.lines(), "damaged", story.damaged()));
	}

}
