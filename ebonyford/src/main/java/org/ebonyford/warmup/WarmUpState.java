package org.ebonyford.warmup;

import java.util.OptionalLong;

import org.ebonyford.configuration.Pool;
import org.ebonyford.load.LoadReport;

/**
 * What a router knows of one upstream's state from its reports and from exchanges that
 * broke.
 */
public final class WarmUpState {

	/**
	 * Decides how the limit grows.
	 */
	private final WarmUpPolicy warmUp;

	/**
	 * The age of a sample in milliseconds beyond which the upstream counts as cold.
	 */
	private final long staleMillis;

	/**
	 * The age of a sample in milliseconds beyond which the upstream gets no work.
	 */
	private final long lostMillis;

	/**
	 * The last report, or {@code null} before the first one.
	 */
	private LoadReport report;

	/**
	 * The clock reading in milliseconds at which the last report was sampled at the
	 * latest.
	 */
	private long sampledAt;

	/**
	 * The clock reading in milliseconds up to which samples don't show that the upstream
	 * is still warm.
	 */
	private long coldUntil = Long.MIN_VALUE;

	/**
	 * The clock reading in milliseconds up to which samples are not relied on.
	 */
	private long invalidUntil = Long.MIN_VALUE;

	/**
	 * Creates the state of an upstream that has not reported.
	 * @param warmUp decides how the limit grows
	 * @param staleMillis the age of a sample in milliseconds beyond which the upstream
	 * counts as cold
	 * @param lostMillis the age of a sample in milliseconds beyond which the upstream
	 * gets no work
	 */
	public WarmUpState(WarmUpPolicy warmUp, long staleMillis, long lostMillis) {
		this.warmUp = warmUp;
		this.staleMillis = staleMillis;
		this.lostMillis = lostMillis;
	}

	/**
	 * Takes in a report unless a later sample is known.
	 * @param now the clock reading in milliseconds
	 * @param received the report
	 * @return whether the report is the latest one
	 */
	public boolean recordReport(long now, LoadReport received) {
		long receivedSampledAt = now - received.ageMillis();
		if (this.report != null && receivedSampledAt < this.sampledAt) {
			return false;
		}
		this.report = received;
		this.sampledAt = receivedSampledAt;
		return true;
	}

	/**
	 * Counts the upstream as cold until a later sample shows the contrary.
	 * @param now the clock reading in milliseconds
	 */
	public void assumeCold(long now) {
		this.coldUntil = now;
	}

	/**
	 * Relies on none but later samples.
	 * @param now the clock reading in milliseconds
	 */
	public void invalidateSamples(long now) {
		this.invalidUntil = now;
	}

	/**
	 * Returns the limit of the upstream.
	 * @param now the clock reading in milliseconds
	 * @param pool the pool of the upstream
	 * @return the requests that the upstream bears at a time, 0 if it is not known
	 */
	public int limit(long now, Pool pool) {
		if (this.report == null || now - this.sampledAt > this.lostMillis || this.sampledAt <= this.invalidUntil) {
			return 0;
		}
		if (now - this.sampledAt > this.staleMillis || this.sampledAt <= this.coldUntil) {
			return pool.coldLimit();
		}
		return this.warmUp.limit(pool, this.report.completed());
	}

	/**
	 * Returns the incarnation of the upstream.
	 * @return the incarnation, or empty before the first report
	 */
	public OptionalLong incarnation() {
		return (this.report != null) ? OptionalLong.of(this.report.incarnation()) : OptionalLong.empty();
	}

	/**
	 * Returns how many requests ran on the upstream at the last sample.
	 * @return the requests, 0 before the first report
	 */
	public int running() {
		return (this.report != null) ? this.report.running() : 0;
	}

	/**
	 * Returns when the last sample was taken at the latest.
	 * @return the clock reading in milliseconds, only of use after a report
	 */
	public long sampledAt() {
		return this.sampledAt;
	}

	/**
	 * Returns whether the upstream said that it is about to leave.
	 * @return whether it is leaving
	 */
	public boolean leaving() {
		return this.report != null && this.report.leaving();
	}

}
