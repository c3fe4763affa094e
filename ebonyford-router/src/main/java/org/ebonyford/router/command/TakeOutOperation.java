package org.ebonyford.router.command;

import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Function;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.ini.ValueFormat;
import org.ebonyford.router.control.ControlChange;
import org.ebonyford.router.control.ControlPublisher;

/**
 * Takes something out of service or back. Such a change conflicts with no other one, so
 * that it is based anew when another change is accepted first.
 */
public abstract class TakeOutOperation extends LogOperation {

	/**
	 * What is taken out or back.
	 */
	@Required
	@Arguments(title = "NAME", description = "The name of what is taken out of service or back.")
	private String name;

	/**
	 * Makes the change from the name of what is taken out or back.
	 */
	private final Function<String, ControlChange> change;

	/**
	 * Tells whether a configuration knows what is to be taken out.
	 */
	private final BiPredicate<Configuration, String> knows;

	/**
	 * Creates a command.
	 * @param change makes the change from the name of what is taken out or back
	 * @param knows tells whether a configuration knows what is to be taken out
	 */
	TakeOutOperation(Function<String, ControlChange> change, BiPredicate<Configuration, String> knows) {
		this.change = change;
		this.knows = knows;
	}

	/**
	 * Creates a command for what a configuration may not list.
	 * @param change makes the change from the name of what is taken out or back
	 */
	TakeOutOperation(Function<String, ControlChange> change) {
		this(change, (configuration, target) -> true);
	}

	@Override
	final Answer answer(CommandEnvironment environment) {
		if (ValueFormat.ForPattern.NAME.parse(this.name).isEmpty()) {
			throw new CommandException(
					"\"" + this.name + "\" is not valid; expected " + ValueFormat.ForPattern.NAME.expected());
		}
		ControlPublisher publisher = publisher(environment);
		Optional<Configuration> configuration = publisher.inForce().map(ControlPublisher.InForce::configuration);
		if (configuration.filter((known) -> !this.knows.test(known, this.name)).isPresent()) {
			throw new CommandException("The configuration in force does not know " + this.name);
		}
		return Answers.outcome(publisher.insist(this.change.apply(this.name)));
	}

	/**
	 * Takes a data centre out of service.
	 */
	@Command(name = "out", description = "Takes a data centre out of service.")
	public static class DataCentreOut extends TakeOutOperation {

		/**
		 * Creates the command.
		 */
		public DataCentreOut() {
			super((target) -> new ControlChange.ForDataCentre(new DataCentreId(target), true),
					(configuration, target) -> configuration.upstreams()
						.values()
						.stream()
						.anyMatch((upstream) -> upstream.dataCentre().value().equals(target)));
		}

	}

	/**
	 * Takes a data centre back into service.
	 */
	@Command(name = "in", description = "Takes a data centre back into service.")
	public static class DataCentreIn extends TakeOutOperation {

		/**
		 * Creates the command.
		 */
		public DataCentreIn() {
			super((target) -> new ControlChange.ForDataCentre(new DataCentreId(target), false));
		}

	}

	/**
	 * Takes a VM of the system out of service.
	 */
	@Command(name = "out", description = "Takes a VM of the system out of service.")
	public static class VmOut extends TakeOutOperation {

		/**
		 * Creates the command.
		 */
		public VmOut() {
			super((target) -> new ControlChange.ForVm(new VmId(target), true));
		}

	}

	/**
	 * Takes a VM of the system back into service.
	 */
	@Command(name = "in", description = "Takes a VM of the system back into service.")
	public static class VmIn extends TakeOutOperation {

		/**
		 * Creates the command.
		 */
		public VmIn() {
			super((target) -> new ControlChange.ForVm(new VmId(target), false));
		}

	}

	/**
	 * Takes an upstream out of service.
	 */
	@Command(name = "out", description = "Takes an upstream out of service.")
	public static class UpstreamOut extends TakeOutOperation {

		/**
		 * Creates the command.
		 */
		public UpstreamOut() {
			super((target) -> new ControlChange.ForUpstream(new UpstreamId(target), true),
					(configuration, target) -> configuration.upstreams().containsKey(new UpstreamId(target)));
		}

	}

	/**
	 * Takes an upstream back into service.
	 */
	@Command(name = "in", description = "Takes an upstream back into service.")
	public static class UpstreamIn extends TakeOutOperation {

		/**
		 * Creates the command.
		 */
		public UpstreamIn() {
			super((target) -> new ControlChange.ForUpstream(new UpstreamId(target), false));
		}

	}

}
