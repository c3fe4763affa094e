package org.ebonyford.router.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * Finds settings that contradict each other.
 *
 * @param parser knows the values and takes the findings
 */
record Contradictions(SettingsParser parser) {

	/**
	 * Checks all settings.
	 */
	void check() {
		callers();
		dispatch();
		platform();
		tls();
		ports();
	}

	private void callers() {
		require(RouterKeys.Callers.MAX_TIMEOUT, RouterKeys.Callers.DEFAULT_TIMEOUT, (max, usual) -> max >= usual,
				"must not be below");
		require(RouterKeys.Callers.MAX_HELD_BODIES, RouterKeys.Callers.MAX_BODY, (all, one) -> all >= one,
				"must not be below");
		require(RouterKeys.Upstreams.MAX_CONNECTIONS, RouterKeys.Upstreams.MAX_CONNECTIONS_EACH,
				(all, one) -> all >= one, "must not be below");
	}

	private void dispatch() {
		require(RouterKeys.Dispatch.GRANT_VALIDITY, RouterKeys.Dispatch.REFRESH,
				(validity, refresh) -> validity > 2 * refresh, "must be more than twice");
		require(RouterKeys.Dispatch.HANDOVER, RouterKeys.Dispatch.GRANT_VALIDITY, (left, right) -> left > right,
				"must be more than");
		require(RouterKeys.Dispatch.SILENCE, RouterKeys.Dispatch.CONFIRMATION, (left, right) -> left > right,
				"must be more than");
		require(RouterKeys.Dispatch.LOST, RouterKeys.Dispatch.STALE, (left, right) -> left >= right,
				"must not be below");
		require(RouterKeys.Dispatch.STALE, RouterKeys.Upstreams.LOAD_POLL, (left, right) -> left > right,
				"must be more than");
		long start = millis(RouterKeys.Dispatch.GRANT_VALIDITY) + millis(RouterKeys.Dispatch.CONFIRMATION);
		if (this.parser.value(RouterKeys.Dispatch.START_UP).filter((value) -> value < start).isPresent()) {
			this.parser.find(RouterKeys.Dispatch.START_UP,
					"The value must not be below grant-validity and confirmation together");
		}
	}

	private void platform() {
		require(RouterKeys.Platform.LOG_RETENTION, RouterKeys.Control.REFRESH_SPREAD,
				(retention, spread) -> retention >= 4 * spread, "must be at least four times");
		require(RouterKeys.Platform.LOG_RETENTION, RouterKeys.Claims.RESTATE_SPREAD,
				(retention, spread) -> retention > 2 * (spread + millis(RouterKeys.Claims.CLOCK_SKEW)),
				"must be more than twice clock-skew and");
		require(RouterKeys.Loop.PAUSE, RouterKeys.Loop.TICK, (pause, tick) -> pause > tick, "must be more than");
	}

	private void tls() {
		together(RouterKeys.Callers.TLS_CERTIFICATE, RouterKeys.Callers.TLS_KEY);
		together(RouterKeys.Operators.TLS_CERTIFICATE, RouterKeys.Operators.TLS_KEY);
		together(RouterKeys.Peers.TLS_CERTIFICATE, RouterKeys.Peers.TLS_KEY);
		together(RouterKeys.Peers.TLS_CERTIFICATE, RouterKeys.Peers.TLS_AUTHORITIES);
	}

	private void ports() {
		Map<Integer, Setting<Integer>> taken = new HashMap<>();
		port(taken, RouterKeys.Callers.PORT);
		port(taken, RouterKeys.Operators.PORT);
		port(taken, RouterKeys.Peers.PORT);
	}

	private void port(Map<Integer, Setting<Integer>> taken, Setting<Integer> setting) {
		this.parser.value(setting)
			.filter((port) -> port != 0)
			.flatMap((port) -> Optional.ofNullable(taken.putIfAbsent(port, setting)))
			.ifPresent((earlier) -> this.parser.find(setting, "The port is that of [" + earlier.section() + "]"));
	}

	private void together(Setting<?> one, Setting<?> other) {
		boolean first = this.parser.value(one).isPresent();
		if (first != this.parser.value(other).isPresent()) {
			this.parser.find(first ? one : other, "Give both " + one.key() + " and " + other.key() + " or neither");
		}
	}

	private <T, U> void require(Setting<T> setting, Setting<U> other, BiPredicate<T, U> rule, String relation) {
		Optional<T> left = this.parser.value(setting);
		Optional<U> right = this.parser.value(other);
		if (left.isPresent() && right.isPresent() && !rule.test(left.get(), right.get())) {
			this.parser.find(setting, "The value " + relation + " [" + other.section() + "] " + other.key());
		}
	}

	private long millis(Setting<Long> setting) {
		return this.parser.value(setting).orElse(0L);
	}

}
