package org.ebonyford.router.command;

import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.configuration.ConfigurationReader;

/**
 * Checks files without publishing them.
 */
@Command(name = "check", description = "Checks plans and uses, or the settings of a router, and publishes nothing.")
public class CheckOperation extends AbstractOperation {

	/**
	 * The plans file.
	 */
	@Option(name = "--plans", title = "FILE", description = "The plans file.")
	private String plans;

	/**
	 * The uses file.
	 */
	@Option(name = "--uses", title = "FILE", description = "The uses file.")
	private String uses;

	/**
	 * The settings of a router.
	 */
	@Option(name = "--settings", title = "FILE", description = "The settings of a router.")
	private String settings;

	@Override
	Answer answer(CommandEnvironment environment) {
		boolean configuration = this.plans != null && this.uses != null;
		if (!configuration && (this.settings == null || this.plans != null || this.uses != null)) {
			throw new CommandException("Give --plans and --uses together, --settings, or all three");
		}
		if (this.settings != null) {
			environment.settings().read(this.settings, environment.files().read(this.settings));
		}
		if (configuration) {
			ConfigurationReader.ForIni.INSTANCE.read(environment.files().read(this.plans),
					environment.files().read(this.uses));
		}
		return Answer.ok("No findings.", Map.of("findings", List.of()));
	}

}
