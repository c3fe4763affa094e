package org.ebonyford.router.command;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.control.ControlRecord;
import org.ebonyford.finding.Finding;
import org.ebonyford.router.control.ControlOutcome;

/**
 * Puts what came of a command into words.
 */
final class Answers {

	private Answers() {
	}

	/**
	 * Tells the faults of files.
	 * @param findings the faults
	 * @return the answer
	 */
	static Answer findings(List<Finding> findings) {
		List<Map<String, Object>> fields = findings.stream().map(Answers::finding).toList();
		return new Answer(ExitCode.REFUSED, findings.stream().map(Finding::toString).toList(),
				Map.of("findings", fields));
	}

	/**
	 * Tells what became of a change.
	 * @param outcome what became of it
	 * @return the answer
	 */
	static Answer outcome(ControlOutcome outcome) {
		if (outcome instanceof ControlOutcome.Accepted accepted) {
			long version = accepted.record().offset();
			return Answer.ok("Version " + version + " is in force.", fields("accepted", version));
		}
		if (outcome instanceof ControlOutcome.Unchanged unchanged) {
			return Answer.ok("Version " + unchanged.version() + " is in force and has this already; nothing changed.",
					fields("unchanged", unchanged.version()));
		}
		if (outcome instanceof ControlOutcome.Lost lost) {
			return lost(lost);
		}
		if (outcome instanceof ControlOutcome.Unreachable unreachable) {
			return unreachable(unreachable);
		}
		return Answer.failed(ExitCode.REFUSED, "Nothing is in force yet; publish plans and uses first.");
	}

	private static Map<String, Object> fields(String outcome, long version) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("outcome", outcome);
		fields.put("version", version);
		return fields;
	}

	private static Answer lost(ControlOutcome.Lost lost) {
		String winner = lost.winner().map(ControlRecord::author).orElse("someone whose record is no longer kept");
		Map<String, Object> fields = fields("lost", lost.inForce());
		fields.put("base", lost.base());
		fields.put("winner", winner);
		String line = "Not accepted: version " + lost.base() + " was replaced by " + winner + " first. Version "
				+ lost.inForce() + " is in force. See it with show, then try again.";
		return new Answer(ExitCode.RACE_LOST, List.of(line), fields);
	}

	private static Answer unreachable(ControlOutcome.Unreachable unreachable) {
		String effect = unreachable.effectPossible()
				? "The change may come into force still; ask with show before you try again." : "Nothing changed.";
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("outcome", unreachable.effectPossible() ? "unknown" : "unreachable");
		fields.put("reason", unreachable.message());
		return new Answer(ExitCode.UNREACHABLE, List.of(unreachable.message() + ". " + effect), fields);
	}

	private static Map<String, Object> finding(Finding finding) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("file", finding.place().file());
		fields.put("section", finding.place().section());
		fields.put("key", finding.place().key());
		fields.put("line", finding.place().line());
		fields.put("message", finding.message());
		return fields;
	}

}
