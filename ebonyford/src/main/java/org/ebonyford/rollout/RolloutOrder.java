package org.ebonyford.rollout;

import java.util.Objects;

/**
 * The operator's order to move a service to upstreams of another software version.
 *
 * @param service the name of the service
 * @param target the software version
 * @param durationMillis the time in milliseconds after the order within which the
 * roll-out has to end
 * @param revision identifies this order among those for the service, as the operator may
 * give the same order twice
 */
public record RolloutOrder(String service, String target, long durationMillis, long revision) {

	/**
	 * Creates an order.
	 * @throws IllegalArgumentException if a name is empty or the duration is not positive
	 */
	public RolloutOrder {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(target, "target");
		if (service.isEmpty() || target.isEmpty() || durationMillis <= 0) {
			throw new IllegalArgumentException("A roll-out needs a service, a target and a positive duration: "
					+ service + ", " + target + ", " + durationMillis);
		}
	}

}
