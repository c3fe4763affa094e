package org.ebonyford.gateway.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.placement.ServicePace;
import org.ebonyford.placement.UpstreamState;

/**
 * Counts how many engines this gateway may use at a moment, and why it may not use the
 * others, so that its view can be compared with that of other gateways.
 */
final class EngineSummary {

	/**
	 * The tokens for which the reading time is told.
	 */
	private static final int PREFILL_SAMPLE_TOKENS = 1_000;

	/**
	 * The engines by what keeps requests from them.
	 */
	private final int[] countsByReason = new int[ExclusionReason.values().length];

	/**
	 * How slow the engines are believed to be.
	 */
	private final List<Double> slownessFactors = new ArrayList<>();

	/**
	 * The engines that are believed to run nothing.
	 */
	private int idleEngines;

	/**
	 * The requests that the engines are believed to run.
	 */
	private long runningRequests;

	/**
	 * The tokens that the engines are believed to have still to read.
	 */
	private long pendingPrefillTokens;

	/**
	 * The tokens that the engines have still to read for requests of this gateway.
	 */
	private long ownPendingPrefillTokens;

	void add(UpstreamState state, ExclusionReason reason, long now) {
		this.countsByReason[reason.ordinal()]++;
		this.slownessFactors.add(state.slowness(now));
		this.idleEngines += (state.total(now).running() == 0) ? 1 : 0;
		this.runningRequests += state.total(now).running();
		this.pendingPrefillTokens += state.total(now).reading();
		this.ownPendingPrefillTokens += state.own().reading();
	}

	LogLine toLogLine(ServicePace pace) {
		Collections.sort(this.slownessFactors);
		LogLine line = LogLine.of(GatewayEvent.ENGINES)
			.with("read_us_per_token", pace.readMillis(PREFILL_SAMPLE_TOKENS))
			.with("first_ms", pace.firstMillis(0))
			.with("whole_ms", pace.wholeMillis())
			.with("slowness_median",
					this.slownessFactors.isEmpty() ? 1 : this.slownessFactors.get(this.slownessFactors.size() / 2))
			.with("slowness_most",
					this.slownessFactors.isEmpty() ? 1 : this.slownessFactors.get(this.slownessFactors.size() - 1))
			.with("idle", this.idleEngines)
			.with("running", this.runningRequests)
			.with("reading_tokens", this.pendingPrefillTokens)
			.with("reading_tokens_own", this.ownPendingPrefillTokens);
		for (ExclusionReason reason : ExclusionReason.values()) {
			line = line.with("engines_" + reason.name().toLowerCase(Locale.ROOT),
					this.countsByReason[reason.ordinal()]);
		}
		return line;
	}

	/**
	 * What keeps requests from an engine.
	 */
	enum ExclusionReason {

		/**
		 * Nothing.
		 */
		NONE,

		/**
		 * It is about to end.
		 */
		LEAVING,

		/**
		 * It was silent, could not be reached, or wants nothing for a while.
		 */
		LEFT_OUT,

		/**
		 * This gateway's part of its connections is in use.
		 */
		NO_CONNECTION,

		/**
		 * It is cold, and this gateway's part of what it bears is used up.
		 */
		COLD

	}

}
