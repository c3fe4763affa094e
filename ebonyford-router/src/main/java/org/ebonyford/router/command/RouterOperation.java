package org.ebonyford.router.command;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import org.ebonyford.router.settings.RouterSettings;

/**
 * Runs a router in this process.
 */
@Command(name = "router", description = "Runs a router until it is asked to stop.")
public class RouterOperation extends AbstractOperation {

	/**
	 * The settings of the router.
	 */
	@Required
	@Option(name = "--settings", title = "FILE", description = "The settings of the router.")
	private String settings;

	@Override
	Answer answer(CommandEnvironment environment) {
		RouterSettings checked = environment.settings().read(this.settings, environment.files().read(this.settings));
		try {
			environment.launcher().launch(checked).join();
		}
		catch (CompletionException ex) {
			throw new CommandException("The router cannot run: " + ex.getCause().getMessage());
		}
		return new Answer(ExitCode.OK, List.of(), Map.of());
	}

}
