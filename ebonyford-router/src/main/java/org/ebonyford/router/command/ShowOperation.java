package org.ebonyford.router.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import org.ebonyford.control.ControlState;
import org.ebonyford.router.control.ControlPublisher;

/**
 * Shows what is in force.
 */
@Command(name = "show", description = "Shows what is in force as the log tells it.")
public class ShowOperation extends LogOperation {

	/**
	 * Whether to print the plans file.
	 */
	@Option(name = "--plans", description = "Prints the plans file in force.")
	private boolean plans;

	/**
	 * Whether to print the uses file.
	 */
	@Option(name = "--uses", description = "Prints the uses file in force.")
	private boolean uses;

	@Override
	Answer answer(CommandEnvironment environment) {
		ControlPublisher.InForce inForce = publisher(environment).inForce()
			.orElseThrow(() -> new CommandException("Nothing is in force yet."));
		Map<String, Object> fields = fields(inForce);
		List<String> lines = new ArrayList<>();
		if (!this.plans && !this.uses) {
			fields.forEach((name, value) -> lines.add(name + ": " + value));
		}
		ControlState state = inForce.state();
		if (this.plans) {
			lines.addAll(state.plans().lines().toList());
			fields.put("plans", state.plans());
		}
		if (this.uses) {
			lines.addAll(state.uses().lines().toList());
			fields.put("uses", state.uses());
		}
		return new Answer(ExitCode.OK, lines, fields);
	}

	private static Map<String, Object> fields(ControlPublisher.InForce inForce) {
		ControlState state = inForce.state();
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("version", state.version());
		inForce.record().ifPresent((record) -> {
			fields.put("author", record.author());
			fields.put("since", Instant.ofEpochMilli(record.appendedAt()).toString());
		});
		fields.put("organisations", inForce.configuration().organisations().size());
		fields.put("upstreams", inForce.configuration().upstreams().size());
		fields.put("dataCentresOut", names(state.dataCentresOut()));
		fields.put("vmsOut", names(state.vmsOut()));
		fields.put("upstreamsOut", names(state.upstreamsOut()));
		return fields;
	}

	private static List<String> names(Set<?> identifiers) {
		return identifiers.stream().map(Object::toString).sorted().toList();
	}

}
