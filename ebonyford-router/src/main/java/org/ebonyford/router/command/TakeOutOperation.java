package org.ebonyford.router.command;

import java.util.Optional;
import java.util.function.Predicate;

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
abstract class TakeOutOperation extends LogOperation {

	/**
	 * What is taken out or back.
	 */
	@Required
	@Arguments(title = "NAME", description = "The name of what is taken out of service or back.")
	private String name;

	@Override
	final Answer answer(CommandEnvironment environment) {
		if (ValueFormat.ForPattern.NAME.parse(this.name).isEmpty()) {
			throw new CommandException(
					"\"" + this.name + "\" is not valid; expected " + ValueFormat.ForPattern.NAME.expected());
		}
		ControlPublisher publisher = publisher(environment);
		Optional<Configuration> configuration = publisher.inForce().map(ControlPublisher.InForce::configuration);
		if (configuration.filter(knows(this.name).negate()).isPresent()) {
			throw new CommandException("The configuration in force does not know " + this.name);
		}
		return Answers.outcome(publisher.insist(change(this.name)));
	}

	/**
	 * Returns the change to make.
	 * @param target the name of what is taken out or back
	 * @return the change
	 */
	abstract ControlChange change(String target);

	/**
	 * Returns whether a configuration knows what is to be taken out.
	 * @param target the name of what is taken out or back
	 * @return the condition, which always holds for what a configuration does not list
	 */
	abstract Predicate<Configuration> knows(String target);

	/**
	 * Takes a data centre out of service.
	 */
	@Command(name = "out", description = "Takes a data centre out of service.")
	public static class DataCentreOut extends TakeOutOperation {

		@Override
		ControlChange change(String target) {
			return new ControlChange.ForDataCentre(new DataCentreId(target), true);
		}

		@Override
		Predicate<Configuration> knows(String target) {
			return (configuration) -> configuration.upstreams()
				.values()
				.stream()
				.anyMatch((upstream) -> upstream.dataCentre().value().equals(target));
		}

	}

	/**
	 * Takes a data centre back into service.
	 */
	@Command(name = "in", description = "Takes a data centre back into service.")
	public static class DataCentreIn extends TakeOutOperation {

		@Override
		ControlChange change(String target) {
			return new ControlChange.ForDataCentre(new DataCentreId(target), false);
		}

		@Override
		Predicate<Configuration> knows(String target) {
			return (configuration) -> true;
		}

	}

	/**
	 * Takes a VM out of service.
	 */
	@Command(name = "out", description = "Takes a VM of the system out of service.")
	public static class VmOut extends TakeOutOperation {

		@Override
		ControlChange change(String target) {
			return new ControlChange.ForVm(new VmId(target), true);
		}

		@Override
		Predicate<Configuration> knows(String target) {
			return (configuration) -> true;
		}

	}

	/**
	 * Takes a VM back into service.
	 */
	@Command(name = "in", description = "Takes a VM of the system back into service.")
	public static class VmIn extends TakeOutOperation {

		@Override
		ControlChange change(String target) {
			return new ControlChange.ForVm(new VmId(target), false);
		}

		@Override
		Predicate<Configuration> knows(String target) {
			return (configuration) -> true;
		}

	}

	/**
	 * Takes an upstream out of service.
	 */
	@Command(name = "out", description = "Takes an upstream out of service.")
	public static class UpstreamOut extends TakeOutOperation {

		@Override
		ControlChange change(String target) {
			return new ControlChange.ForUpstream(new UpstreamId(target), true);
		}

		@Override
		Predicate<Configuration> knows(String target) {
			return (configuration) -> configuration.upstreams().containsKey(new UpstreamId(target));
		}

	}

	/**
	 * Takes an upstream back into service.
	 */
	@Command(name = "in", description = "Takes an upstream back into service.")
	public static class UpstreamIn extends TakeOutOperation {

		@Override
		ControlChange change(String target) {
			return new ControlChange.ForUpstream(new UpstreamId(target), false);
		}

		@Override
		Predicate<Configuration> knows(String target) {
			return (configuration) -> true;
		}

	}

}
