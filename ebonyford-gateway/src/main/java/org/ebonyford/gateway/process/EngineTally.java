package org.ebonyford.gateway.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.ServicePace;
import org.ebonyford.placement.UpstreamState;

/**
 * Summarises for the log how many engines of a service this gateway can use and why it
 * excludes the others, so that its view can be compared with that of other gateways.
 */
final class EngineTally {

	/**
	 * Tokens for which the prefill time is logged. With 1000 tokens the time in
	 * milliseconds equals the microseconds per token.
	 */
	private static final int PREFILL_SAMPLE_TOKENS = 1_000;

	/**
	 * Number of engines by {@link ExclusionReason} ordinal.
	 */
	private final int[] countsByReason = new int[ExclusionReason.values().length];

	/**
	 * Estimated slowness factor of each engine.
	 */
	private final List<Double> slownessFactors = new ArrayList<>();

	/**
	 * Number of engines that of late stated to a gateway that work takes longer there
	 * than usual.
	 */
	private int unusualEngines;

	/**
	 * Number of engines estimated to run no requests.
	 */
	private int idleEngines;

	/**
	 * Estimated number of requests that the engines run for all gateways.
	 */
	private long runningRequests;

	/**
	 * Estimated tokens that the engines still have to prefill for all gateways.
	 */
	private long pendingPrefillTokens;

	/**
	 * Tokens that the engines still have to prefill for requests of this gateway.
	 */
	private long ownPendingPrefillTokens;

	void add(UpstreamState state, ExclusionReason reason, long now) {
		this.countsByReason[reason.ordinal()]++;
		this.slownessFactors.add(state.slowness(now));
		this.unusualEngines += state.paceUpdate(now).filter(PaceObservation::unusual).isPresent() ? 1 : 0;
		this.idleEngines += (state.totalLoad(now).running() == 0) ? 1 : 0;
		this.runningRequests += state.totalLoad(now).running();
		this.pendingPrefillTokens += state.totalLoad(now).prefillTokens();
		this.ownPendingPrefillTokens += state.ownLoad().prefillTokens();
	}

	LogLine toLogLine(ServicePace pace) {
		Collections.sort(this.slownessFactors);
		LogLine line = LogLine.of(GatewayEvent.ENGINES)
			.with("read_us_per_token", pace.prefillMillis(PREFILL_SAMPLE_TOKENS))
			.with("first_ms", pace.firstByteMillis(0))
			.with("whole_ms", pace.totalMillis())
			.with("slowness_median",
					this.slownessFactors.isEmpty() ? 1 : this.slownessFactors.get(this.slownessFactors.size() / 2))
			.with("slowness_most",
					this.slownessFactors.isEmpty() ? 1 : this.slownessFactors.get(this.slownessFactors.size() - 1))
			.with("pace_unusual", this.unusualEngines)
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
	 * Why this gateway sends no requests to an engine.
	 */
	enum ExclusionReason {

		/**
		 * The engine is usable.
		 */
		NONE,

		/**
		 * The engine is draining.
		 */
		LEAVING,

		/**
		 * The engine was silent or unreachable, or asked for no requests for a while.
		 */
		LEFT_OUT,

		/**
		 * This gateway's share of the engine's connections is in use.
		 */
		NO_CONNECTION,

		/**
		 * The engine is cold, and this gateway's share of its cold request rate is used
		 * up.
		 */
		COLD,

		/**
		 * The engine has named a limit on requests, and this gateway's share is used up.
		 */
		LIMITED

	}

}
