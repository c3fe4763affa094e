package org.ebonyford.router.command;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import org.ebonyford.router.evidence.EvidenceReport;
import org.ebonyford.router.evidence.Gap;
import org.ebonyford.router.evidence.Promise;
import org.ebonyford.router.log.LogException;

/**
 * Tells whether promises were kept in a period.
 */
@Command(name = "evidence", description = "Tells whether each promise was kept in a period, and where records are "
		+ "missing; exits with 1 unless all are shown kept.")
public class EvidenceOperation extends LogOperation {

	/**
	 * The beginning of the period.
	 */
	@Required
	@Option(name = "--from", title = "TIME", description = "The beginning of the period, such as 2026-12-04T08:00:00Z.")
	private String from;

	/**
	 * The end of the period.
	 */
	@Required
	@Option(name = "--to", title = "TIME", description = "The end of the period.")
	private String to;

	@Override
	Answer answer(CommandEnvironment environment) {
		Instant begin = instant("--from", this.from);
		Instant end = instant("--to", this.to);
		if (!begin.isBefore(end)) {
			throw new CommandException("--from must be before --to");
		}
		try {
			return answer(EvidenceReport.between(client(environment), begin.toEpochMilli(), end.toEpochMilli()).join());
		}
		catch (CompletionException ex) {
			throw (ex.getCause() instanceof LogException failure) ? failure
					: new LogException("The evidence cannot be read", false, ex.getCause());
		}
	}

	private static Answer answer(EvidenceReport report) {
		boolean whole = report.gaps().isEmpty() && report.promises().stream().allMatch(EvidenceOperation::shown);
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("promises", report.promises());
		fields.put("gaps", report.gaps());
		return new Answer(whole ? ExitCode.OK : ExitCode.REFUSED, lines(report), fields);
	}

	private static boolean shown(Promise promise) {
		return promise.verdict() == Promise.Verdict.KEPT || promise.verdict() == Promise.Verdict.MEASURED;
	}

	private static List<String> lines(EvidenceReport report) {
		List<String> lines = new ArrayList<>();
		for (Promise promise : report.promises()) {
			lines.add(promise.kind() + ": " + promise.verdict());
			promise.details().forEach((detail) -> lines.add("  " + detail));
		}
		report.gaps().forEach((gap) -> lines.add(line(gap)));
		return lines;
	}

	private static String line(Gap gap) {
		return "Records of " + gap.router() + " are missing from " + Instant.ofEpochMilli(gap.from()) + " to "
				+ Instant.ofEpochMilli(gap.to()) + ": " + gap.cause();
	}

	private static Instant instant(String option, String text) {
		try {
			return Instant.parse(text);
		}
		catch (DateTimeParseException ex) {
			throw new CommandException(option + " must be a time such as 2026-12-04T08:00:00Z");
		}
	}

}
