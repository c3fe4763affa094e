package org.ebonyford.router.command;

import java.util.OptionalLong;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import org.ebonyford.configuration.ConfigurationReader;
import org.ebonyford.router.control.ControlChange;
import org.ebonyford.router.control.ControlPublisher;

/**
 * Publishes plans and uses.
 */
@Command(name = "publish", description = "Checks plans and uses and brings them into force.")
public class PublishOperation extends LogOperation {

	/**
	 * The plans file.
	 */
	@Required
	@Option(name = "--plans", title = "FILE", description = "The plans file.")
	private String plans;

	/**
	 * The uses file.
	 */
	@Required
	@Option(name = "--uses", title = "FILE", description = "The uses file.")
	private String uses;

	/**
	 * The version that the files were made from.
	 */
	@Option(name = "--based-on", title = "VERSION",
			description = "The version that the files were made from; without it the one in force.")
	private Long basedOn;

	/**
	 * Whether to publish again after another change was accepted first.
	 */
	@Option(name = "--rebase", description = "Publishes again if another change is accepted first, and replaces it.")
	private boolean rebase;

	@Override
	Answer answer(CommandEnvironment environment) {
		if (this.rebase && this.basedOn != null) {
			throw new CommandException("Give --based-on or --rebase, not both");
		}
		String plansText = environment.files().read(this.plans);
		String usesText = environment.files().read(this.uses);
		ConfigurationReader.ForIni.INSTANCE.read(plansText, usesText);
		ControlChange change = new ControlChange.ForPublication(plansText, usesText);
		ControlPublisher publisher = publisher(environment);
		return Answers.outcome(this.rebase ? publisher.insist(change) : publisher.propose(change, base()));
	}

	private OptionalLong base() {
		return (this.basedOn != null) ? OptionalLong.of(this.basedOn) : OptionalLong.empty();
	}

}
