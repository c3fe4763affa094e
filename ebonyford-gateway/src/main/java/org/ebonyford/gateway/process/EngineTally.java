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
final class EngineTally {

	/**
	 * The tokens for which the reading time is told.
	 */
	private static final int TOLD_TOKENS = 1_000;

	/**
	 * The engines by what keeps requests from them.
	 */
	private final int[] counts = new int[Obstacle.values().length];

	/**
	 * How slow the engines are believed to be.
	 */
	private final List<Double> slowness = new ArrayList<>();

	/**
	 * The engines that are believed to run nothing.
	 */
	private int idle;

	/**
	 * The requests that the engines are believed to run.
	 */
	private long running;

	/**
	 * The tokens that the engines are believed to have still to read.
	 */
	private long reading;

	/**
	 * The tokens that the engines have still to read for requests of this gateway.
	 */
	private long ownReading;

	void add(UpstreamState state, Obstacle obstacle, long now) {
		this.counts[obstacle.ordinal()]++;
		this.slowness.add(state.slowness(now));
		this.idle += (state.totalLoad(now).running() == 0) ? 1 : 0;
		this.running += state.totalLoad(now).running();
		this.reading += state.totalLoad(now).prefillTokens();
		this.ownReading += state.ownLoad().prefillTokens();
	}

	LogLine line(ServicePace pace) {
		Collections.sort(this.slowness);
		LogLine line = LogLine.of(GatewayEvent.ENGINES)
			.with("read_us_per_token", pace.prefillMillis(TOLD_TOKENS))
			.with("first_ms", pace.firstByteMillis(0))
			.with("whole_ms", pace.totalMillis())
			.with("slowness_median", this.slowness.isEmpty() ? 1 : this.slowness.get(this.slowness.size() / 2))
			.with("slowness_most", this.slowness.isEmpty() ? 1 : this.slowness.get(this.slowness.size() - 1))
			.with("idle", this.idle)
			.with("running", this.running)
			.with("reading_tokens", this.reading)
			.with("reading_tokens_own", this.ownReading);
		for (Obstacle obstacle : Obstacle.values()) {
			line = line.with("engines_" + obstacle.name().toLowerCase(Locale.ROOT), this.counts[obstacle.ordinal()]);
		}
		return line;
	}

	/**
	 * What keeps requests from an engine.
	 */
	enum Obstacle {

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
