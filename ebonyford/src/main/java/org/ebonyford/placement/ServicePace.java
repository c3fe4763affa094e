package org.ebonyford.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * How fast the upstreams of a service work, learned from the requests that they answer.
 * The mean of what the routers know counts before what this one has measured: a router
 * that reads answers late measures its own lateness, and would take all upstreams for
 * slow that others find fast. What it measures then is told to nobody.
 */
public final class ServicePace {

	/**
	 * The time in milliseconds for which a router knows the pace from an answer that it
	 * has read in time.
	 */
	private static final long SAMPLE_VALID_MILLIS = 4_000;

	/**
	 * The least number of routers whose mean is believed.
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
	 * The weight of a request in the averages.
	 */
	private static final double SAMPLE_WEIGHT = 0.04;

	/**
	 * The time in milliseconds to a first byte before any is known.
	 */
	private static final double INITIAL_FIRST_BYTE_MILLIS = 60;

	/**
	 * The time in milliseconds of a whole request before any is known.
	 */
	private static final double INITIAL_TOTAL_MILLIS = 2_000;

	/**
	 * The milliseconds for reading a token before any is known: a usual rate of current
	 * accelerators.
	 */
	private static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.01;

	/**
	 * The tokens from which a request says more of the reading than of the rest.
	 */
	private static final double MIN_LONG_PREFILL_TOKENS = 3_000;

	/**
	 * The tokens below which a request says nothing of the reading.
	 */
	private static final double MAX_SHORT_PREFILL_TOKENS = 1_000;

	/**
	 * The greatest factor by which a single request may differ from the average.
	 */
	private static final double MAX_OUTLIER_FACTOR = 4;

	/**
	 * The time to the first byte apart from reading, in milliseconds.
	 */
	private final MovingAverage recordFirstByte = new MovingAverage(INITIAL_FIRST_BYTE_MILLIS, SAMPLE_WEIGHT);

	/**
	 * The time of a whole request, in milliseconds.
	 */
	private final MovingAverage recordTotal = new MovingAverage(INITIAL_TOTAL_MILLIS, SAMPLE_WEIGHT);

	/**
	 * The time for reading a token, in milliseconds.
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
	 * The time to the first byte of short requests as the routers know it, in
	 * milliseconds, empty if too few do.
	 */
	private OptionalDouble fleetFirstByteMillis = OptionalDouble.empty();

	/**
	 * The milliseconds for reading a token as the routers know them, empty if too few do.
	 */
	private OptionalDouble fleetPrefillMillisPerToken = OptionalDouble.empty();

	/**
	 * Until when that counts, in milliseconds.
	 */
	private long fleetValidUntil = Long.MIN_VALUE;

	/**
	 * What other routers told, by their name.
	 */
	private final Map<String, PeerTotals> peers = new HashMap<>();

	/**
	 * Until when what all others told together counts instead, in milliseconds.
	 */
	private long othersValidUntil = Long.MIN_VALUE;

	/**
	 * Notes when the first byte of an answer came.
	 * @param tokens the tokens that were to be read until then
	 * @param millis the time since the request was sent, in milliseconds
	 * @param inTime whether this router reads its answers in time
	 * @param now the time in milliseconds
	 */
	public void recordFirstByte(double tokens, double millis, boolean inTime, long now) {
		if (inTime && now > this.fleetValidUntil) {
			this.fleetFirstByteMillis = OptionalDouble.empty();
			this.fleetPrefillMillisPerToken = OptionalDouble.empty();
		}
		if (tokens < MAX_SHORT_PREFILL_TOKENS) {
			if (inTime || this.fleetFirstByteMillis.isEmpty()) {
				this.recordFirstByte.add(Math.min(millis, this.recordFirstByte.value() * MAX_OUTLIER_FACTOR));
			}
			this.firstByteSampledAt = inTime ? now : this.firstByteSampledAt;
		}
		else if (tokens >= MIN_LONG_PREFILL_TOKENS) {
			if (inTime || this.fleetPrefillMillisPerToken.isEmpty()) {
				double millisPerToken = Math.max(millis - this.recordFirstByte.value(), 0) / tokens;
				double average = this.prefillMillisPerToken.value();
				this.prefillMillisPerToken.add(
						Math.max(average / MAX_OUTLIER_FACTOR, Math.min(millisPerToken, average * MAX_OUTLIER_FACTOR)));
			}
			this.prefillSampledAt = inTime ? now : this.prefillSampledAt;
		}
	}

	/**
	 * Returns what this router knows.
	 * @param now the time in milliseconds
	 * @return its averages, to be told to other routers
	 */
	public PaceTotals own(long now) {
		boolean firstByteKnown = now - this.firstByteSampledAt <= SAMPLE_VALID_MILLIS;
		boolean prefillKnown = now - this.prefillSampledAt <= SAMPLE_VALID_MILLIS;
		return new PaceTotals(firstByteKnown ? Math.round(this.recordFirstByte.value() * MICROS_PER_MILLI) : 0,
				firstByteKnown ? 1 : 0,
				prefillKnown ? Math.round(this.prefillMillisPerToken.value() * NANOS_PER_MILLI) : 0,
				prefillKnown ? 1 : 0);
	}

	/**
	 * Notes what another router knows.
	 * @param peer the name of the router
	 * @param totals its averages
	 * @param validUntil until when they count, in milliseconds
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
	 * Notes what all other routers together know, which counts instead of what each of
	 * them told.
	 * @param others their sums
	 * @param validUntil until when they count, in milliseconds
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
	 * Notes that an answer ended.
	 * @param millis the time since the request was sent, in milliseconds
	 */
	public void recordTotal(double millis) {
		this.recordTotal.add(millis);
	}

	/**
	 * Predicts when the first byte of an answer comes from an idle upstream.
	 * @param tokens the tokens that are to be read until then
	 * @return the time in milliseconds
	 */
	public double firstByteMillis(double tokens) {
		return this.fleetFirstByteMillis.orElse(this.recordFirstByte.value()) + prefillMillis(tokens);
	}

	/**
	 * Returns the time for reading tokens.
	 * @param tokens the tokens
	 * @return the time in milliseconds
	 */
	public double prefillMillis(double tokens) {
		return tokens * this.fleetPrefillMillisPerToken.orElse(this.prefillMillisPerToken.value());
	}

	/**
	 * Returns the time of a whole request.
	 * @return the time in milliseconds
	 */
	public double totalMillis() {
		return this.recordTotal.value();
	}

	/**
	 * What another router told.
	 *
	 * @param totals its averages
	 * @param validUntil until when they count, in milliseconds
	 */
	private record PeerTotals(PaceTotals totals, long validUntil) {
	}

}
