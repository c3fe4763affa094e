package org.ebonyford.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Estimates the latency of a service's upstreams from the requests that they answer. The
 * mean of all routers takes precedence over this router's own measurements: a router that
 * reads answers late measures its own delay and would take fast upstreams for slow. Such
 * measurements are not reported to other routers.
 */
public final class ServicePace {

	/**
	 * The time in milliseconds for which a router reports an average after the last
	 * answer that it read in time.
	 */
	private static final long SAMPLE_VALID_MILLIS = 4_000;

	/**
	 * The minimum number of routers whose mean is used.
	 */
	private static final int MIN_ROUTERS = 2;

	/**
	 * Microseconds in a millisecond.
	 */
	private static final double MICROS_PER_MILLI = 1_000;

	/**
	 * Nanoseconds in a millisecond.
	 */
	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * The weight of a request in the moving averages.
	 */
	private static final double SAMPLE_WEIGHT = 0.04;

	/**
	 * The assumed time to the first byte in milliseconds before the first sample.
	 */
	private static final double INITIAL_FIRST_BYTE_MILLIS = 60;

	/**
	 * The assumed total time of a request in milliseconds before the first sample.
	 */
	private static final double INITIAL_TOTAL_MILLIS = 2_000;

	/**
	 * The assumed prefill time of a token in milliseconds before the first sample: a
	 * usual rate of current accelerators.
	 */
	private static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.01;

	/**
	 * The prefill tokens from which the time to the first byte is mostly prefill.
	 */
	private static final double MIN_LONG_PREFILL_TOKENS = 3_000;

	/**
	 * The prefill tokens below which the time to the first byte says nothing about
	 * prefill.
	 */
	private static final double MAX_SHORT_PREFILL_TOKENS = 1_000;

	/**
	 * The maximum factor by which a single sample may differ from the average; larger
	 * ones are clipped.
	 */
	private static final double MAX_OUTLIER_FACTOR = 4;

	/**
	 * The time to the first byte without prefill, in milliseconds.
	 */
	private final MovingAverage firstByte = new MovingAverage(INITIAL_FIRST_BYTE_MILLIS, SAMPLE_WEIGHT);

	/**
	 * The total time of a request, in milliseconds.
	 */
	private final MovingAverage total = new MovingAverage(INITIAL_TOTAL_MILLIS, SAMPLE_WEIGHT);

	/**
	 * The prefill time of a token, in milliseconds.
	 */
	private final MovingAverage prefillMillisPerToken = new MovingAverage(INITIAL_PREFILL_MILLIS_PER_TOKEN,
			SAMPLE_WEIGHT);

	/**
	 * When a short request was last answered in time, in milliseconds.
	 */
	private long firstByteSampledAt = Long.MIN_VALUE / 2;

	/**
	 * When a long prompt was last answered in time, in milliseconds.
	 */
	private long prefillSampledAt = Long.MIN_VALUE / 2;

	/**
	 * The mean time to the first byte of short requests over the routers, in
	 * milliseconds, empty if too few routers know it.
	 */
	private OptionalDouble fleetFirstByteMillis = OptionalDouble.empty();

	/**
	 * The mean prefill time of a token over the routers, in milliseconds, empty if too
	 * few routers know it.
	 */
	private OptionalDouble fleetPrefillMillisPerToken = OptionalDouble.empty();

	/**
	 * The time until which the means of the routers are valid, in milliseconds.
	 */
	private long fleetValidUntil = Long.MIN_VALUE;

	/**
	 * The totals reported by each other router, by its name.
	 */
	private final Map<String, PeerTotals> peers = new HashMap<>();

	/**
	 * The time until which the merged totals of all other routers replace their single
	 * reports, in milliseconds.
	 */
	private long othersValidUntil = Long.MIN_VALUE;

	/**
	 * Records the time to the first byte of an answer.
	 * @param tokens the tokens that were prefilled until then
	 * @param millis the time since the request was sent, in milliseconds
	 * @param inTime whether this router reads answers without delay
	 * @param now the time in milliseconds
	 */
	public void recordFirstByte(double tokens, double millis, boolean inTime, long now) {
		if (inTime && now > this.fleetValidUntil) {
			this.fleetFirstByteMillis = OptionalDouble.empty();
			this.fleetPrefillMillisPerToken = OptionalDouble.empty();
		}
		if (tokens < MAX_SHORT_PREFILL_TOKENS) {
			if (inTime || this.fleetFirstByteMillis.isEmpty()) {
				this.firstByte.add(Math.min(millis, this.firstByte.value() * MAX_OUTLIER_FACTOR));
			}
			this.firstByteSampledAt = inTime ? now : this.firstByteSampledAt;
		}
		else if (tokens >= MIN_LONG_PREFILL_TOKENS) {
			if (inTime || this.fleetPrefillMillisPerToken.isEmpty()) {
				double millisPerToken = Math.max(millis - this.firstByte.value(), 0) / tokens;
				double average = this.prefillMillisPerToken.value();
				this.prefillMillisPerToken.add(
						Math.max(average / MAX_OUTLIER_FACTOR, Math.min(millisPerToken, average * MAX_OUTLIER_FACTOR)));
			}
			this.prefillSampledAt = inTime ? now : this.prefillSampledAt;
		}
	}

	/**
	 * Returns this router's averages, to be reported to other routers.
	 * @param now the time in milliseconds
	 * @return the averages, without those that have no recent sample
	 */
	public PaceTotals own(long now) {
		boolean firstByteKnown = now - this.firstByteSampledAt <= SAMPLE_VALID_MILLIS;
		boolean prefillKnown = now - this.prefillSampledAt <= SAMPLE_VALID_MILLIS;
		return new PaceTotals(firstByteKnown ? Math.round(this.firstByte.value() * MICROS_PER_MILLI) : 0,
				firstByteKnown ? 1 : 0,
				prefillKnown ? Math.round(this.prefillMillisPerToken.value() * NANOS_PER_MILLI) : 0,
				prefillKnown ? 1 : 0);
	}

	/**
	 * Records the averages that another router reported.
	 * @param peer the name of the router
	 * @param totals its averages
	 * @param validUntil the time until which they are valid, in milliseconds
	 * @param now the time in milliseconds
	 */
	public void recordPeer(String peer, PaceTotals totals, long validUntil, long now) {
		this.peers.put(peer, new PeerTotals(totals, validUntil));
		if (now > this.othersValidUntil) {
			this.peers.values().removeIf((report) -> now > report.validUntil());
			updateFleet(this.peers.values().stream().map(PeerTotals::totals).reduce(own(now), PaceTotals::plus),
					validUntil);
		}
	}

	/**
	 * Records the merged totals of all other routers, which replace their single reports.
	 * @param others the totals
	 * @param validUntil the time until which they are valid, in milliseconds
	 * @param now the time in milliseconds
	 */
	public void recordOthers(PaceTotals others, long validUntil, long now) {
		this.othersValidUntil = validUntil;
		updateFleet(others.plus(own(now)), validUntil);
	}

	private void updateFleet(PaceTotals all, long validUntil) {
		if (all.firstByteRouters() >= MIN_ROUTERS) {
			this.fleetFirstByteMillis = OptionalDouble
				.of(all.firstByteMicros() / MICROS_PER_MILLI / all.firstByteRouters());
		}
		if (all.prefillRouters() >= MIN_ROUTERS) {
			this.fleetPrefillMillisPerToken = OptionalDouble
				.of(all.prefillNanosPerToken() / NANOS_PER_MILLI / all.prefillRouters());
		}
		this.fleetValidUntil = validUntil;
	}

	/**
	 * Records the total time of an answered request.
	 * @param millis the time since the request was sent, in milliseconds
	 */
	public void recordTotal(double millis) {
		this.total.add(millis);
	}

	/**
	 * Returns the expected time to the first byte at an idle upstream.
	 * @param tokens the tokens to prefill until then
	 * @return the time in milliseconds
	 */
	public double firstByteMillis(double tokens) {
		return this.fleetFirstByteMillis.orElse(this.firstByte.value()) + prefillMillis(tokens);
	}

	/**
	 * Returns the expected prefill time.
	 * @param tokens the tokens to prefill
	 * @return the time in milliseconds
	 */
	public double prefillMillis(double tokens) {
		return tokens * this.fleetPrefillMillisPerToken.orElse(this.prefillMillisPerToken.value());
	}

	/**
	 * Returns the expected total time of a request.
	 * @return the time in milliseconds
	 */
	public double totalMillis() {
		return this.total.value();
	}

	/**
	 * The averages that another router reported.
	 *
	 * @param totals the averages
	 * @param validUntil the time until which they are valid, in milliseconds
	 */
	private record PeerTotals(PaceTotals totals, long validUntil) {
	}

}
