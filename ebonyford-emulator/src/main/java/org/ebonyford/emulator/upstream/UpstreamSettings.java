package org.ebonyford.emulator.upstream;

import java.util.function.Function;

/**
 * How an upstream behaves.
 *
 * @param name the name of the upstream
 * @param port the port to listen on, or 0 to let the system choose one
 * @param cold the requests that it bears right after its start
 * @param warm the requests that it bears when it is warm
 * @param completionsPerSlot the requests that have to complete before one more is borne
 * @param minCost the least tokens of a completion, or milliseconds of a call
 * @param maxCost the most tokens of a completion, or milliseconds of a call
 * @param stepMicros the microseconds of a decoding step when a single request runs
 * @param reportMillis the milliseconds between two samples of the load report
 * @param restartMillis the milliseconds that a start takes after the upstream fell over
 */
public record UpstreamSettings(String name, int port, int cold, int warm, int completionsPerSlot, int minCost,
		int maxCost, long stepMicros, long reportMillis, long restartMillis) {

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if the limits are not ordered
	 */
	public UpstreamSettings {
		if (cold < 1 || warm < cold || completionsPerSlot < 1 || minCost < 1 || maxCost < minCost) {
			throw new IllegalArgumentException("The limits of upstream " + name + " are not ordered");
		}
	}

	/**
	 * Creates the settings of a model engine.
	 * @param name the name of the engine
	 * @return settings with usual values
	 */
	public static UpstreamSettings engine(String name) {
		return new UpstreamSettings(name, 0, 2, 8, 1, 8, 64, 10_000, 100, 300);
	}

	/**
	 * Creates the settings of a plain service.
	 * @param name the name of the service
	 * @return settings with usual values
	 */
	public static UpstreamSettings service(String name) {
		return new UpstreamSettings(name, 0, 4, 32, 1, 5, 20, 0, 100, 300);
	}

	/**
	 * Returns a copy for another upstream.
	 * @param other the name of the upstream
	 * @return the copy
	 */
	public UpstreamSettings named(String other) {
		return new UpstreamSettings(other, this.port, this.cold, this.warm, this.completionsPerSlot, this.minCost,
				this.maxCost, this.stepMicros, this.reportMillis, this.restartMillis);
	}

	/**
	 * Returns a copy with other limits.
	 * @param cold the requests that it bears right after its start
	 * @param warm the requests that it bears when it is warm
	 * @return the copy
	 */
	public UpstreamSettings limits(int cold, int warm) {
		return new UpstreamSettings(this.name, this.port, cold, warm, this.completionsPerSlot, this.minCost,
				this.maxCost, this.stepMicros, this.reportMillis, this.restartMillis);
	}

	/**
	 * Returns a copy with another range of costs.
	 * @param minCost the least tokens of a completion, or milliseconds of a call
	 * @param maxCost the most tokens of a completion, or milliseconds of a call
	 * @return the copy
	 */
	public UpstreamSettings costs(int minCost, int maxCost) {
		return new UpstreamSettings(this.name, this.port, this.cold, this.warm, this.completionsPerSlot, minCost,
				maxCost, this.stepMicros, this.reportMillis, this.restartMillis);
	}

	/**
	 * Returns a copy with another pace.
	 * @param stepMicros the microseconds of a decoding step when a single request runs
	 * @return the copy
	 */
	public UpstreamSettings pace(long stepMicros) {
		return new UpstreamSettings(this.name, this.port, this.cold, this.warm, this.completionsPerSlot, this.minCost,
				this.maxCost, stepMicros, this.reportMillis, this.restartMillis);
	}

	/**
	 * Returns a copy with another speed of warming.
	 * @param completionsPerSlot the requests that have to complete before one more is
	 * borne
	 * @return the copy
	 */
	public UpstreamSettings warming(int completionsPerSlot) {
		return new UpstreamSettings(this.name, this.port, this.cold, this.warm, completionsPerSlot, this.minCost,
				this.maxCost, this.stepMicros, this.reportMillis, this.restartMillis);
	}

	/**
	 * Reads settings from the text that the command line takes.
	 * @param text the name, followed by {@code ,key=value} for what differs from usual
	 * @param usual creates the usual settings for a name
	 * @return the settings
	 * @throws IllegalArgumentException if a key is not known
	 */
	public static UpstreamSettings parse(String text, Function<String, UpstreamSettings> usual) {
		String[] parts = text.split(",");
		UpstreamSettings settings = usual.apply(parts[0]);
		for (int index = 1; index < parts.length; index++) {
			String[] pair = parts[index].split("=", 2);
			settings = settings.with(pair[0], Integer.parseInt(pair[1]));
		}
		return settings;
	}

	/**
	 * Writes the settings as the text that the command line takes.
	 * @return the text
	 */
	public String text() {
		return this.name + ",cold=" + this.cold + ",warm=" + this.warm + ",min=" + this.minCost + ",max=" + this.maxCost
				+ ",step-us=" + this.stepMicros + ",warming=" + this.completionsPerSlot + ",port=" + this.port;
	}

	private UpstreamSettings with(String key, int value) {
		return switch (key) {
			case "cold" -> limits(value, Math.max(value, this.warm));
			case "warm" -> limits(this.cold, value);
			case "min" -> costs(value, Math.max(value, this.maxCost));
			case "max" -> costs(this.minCost, value);
			case "step-us" -> pace(value);
			case "warming" -> warming(value);
			case "port" -> new UpstreamSettings(this.name, value, this.cold, this.warm, this.completionsPerSlot,
					this.minCost, this.maxCost, this.stepMicros, this.reportMillis, this.restartMillis);
			default -> throw new IllegalArgumentException("An upstream has no setting " + key);
		};
	}

}
