package org.ebonyford.lifecycle;

import org.ebonyford.freshness.Freshness;

/**
 * Decides whether a router is ready for connections from the balancer. A router that a
 * partition separates from the store and all other data centres cannot know which keys
 * are in force and reaches few upstreams, so other routers serve callers better. While
 * the store is down for everyone, no router is better placed and all stay ready.
 */
public final class Readiness {

	/**
	 * The age of the configuration in milliseconds above which a router is not ready if a
	 * peer's is younger: the time that a relayed read may take, with one lost.
	 */
	public static final long MAX_CONFIGURATION_AGE_MILLIS = 3_000;

	/**
	 * The silence of all remote routers in milliseconds after which a router without the
	 * store counts as partitioned: five of their report intervals.
	 */
	public static final long MAX_REMOTE_SILENCE_MILLIS = 1_000;

	private Readiness() {
	}

	/**
	 * Returns why the router is not ready.
	 * @param view the state that the router observes
	 * @return the reason, empty if it is ready
	 */
	public static String obstacle(View view) {
		if (view.ending()) {
			return "the process is about to end";
		}
		if (!view.stateKnown()) {
			return "the configuration or the upstreams are not known";
		}
		if (view.configurationAgeMillis() == Freshness.UNKNOWN_AGE
				|| (view.configurationAgeMillis() > MAX_CONFIGURATION_AGE_MILLIS
						&& view.minPeerConfigurationAgeMillis() < MAX_CONFIGURATION_AGE_MILLIS)) {
			return "the configuration is older than a peer's";
		}
		if (!view.storeReachable() && view.remotePeers() > 0
				&& view.remoteSilenceMillis() > MAX_REMOTE_SILENCE_MILLIS) {
			return "neither the store nor another data centre is reached";
		}
		return "";
	}

	/**
	 * The state that a router observes.
	 *
	 * @param ending whether the process was asked to end
	 * @param stateKnown whether the configuration and the upstreams are known
	 * @param configurationAgeMillis the age of the configuration in milliseconds
	 * @param storeReachable whether the last call to the store was answered
	 * @param minPeerConfigurationAgeMillis the age in milliseconds of the youngest
	 * configuration that a peer has recently reported
	 * @param remotePeers the number of routers in other data centres that may be alive,
	 * or of all other routers if there is only one data centre
	 * @param remoteSilenceMillis the time in milliseconds since a message from any of
	 * these was received
	 */
	public record View(boolean ending, boolean stateKnown, long configurationAgeMillis, boolean storeReachable,
			long minPeerConfigurationAgeMillis, int remotePeers, long remoteSilenceMillis) {
	}

}
