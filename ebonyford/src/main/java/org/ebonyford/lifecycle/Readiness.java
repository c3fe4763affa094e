package org.ebonyford.lifecycle;

import org.ebonyford.freshness.Freshness;

/**
 * Decides whether a router asks the balancer for connections. It answers partitions: a
 * router that reaches neither the store nor any other data centre cannot know which keys
 * are in force and reaches few upstreams, so callers are better served by the others.
 * While the store is down for everyone, nobody is better placed and all stay ready.
 */
public final class Readiness {

	/**
	 * The age in milliseconds of the configuration from which a router is not ready, if a
	 * peer's is younger: what a relayed read may take, with a lost one.
	 */
	public static final long MAX_CONFIGURATION_AGE_MILLIS = 3_000;

	/**
	 * The silence in milliseconds of all routers elsewhere after which a router without
	 * the store counts as cut off: five of their reports.
	 */
	public static final long MAX_REMOTE_SILENCE_MILLIS = 1_000;

	private Readiness() {
	}

	/**
	 * Returns why the router is not ready.
	 * @param view what the router sees
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
	 * What a router sees of its surroundings.
	 *
	 * @param ending whether the process was asked to end
	 * @param stateKnown whether the configuration and the upstreams are known
	 * @param configurationAgeMillis the age of the configuration in milliseconds
	 * @param storeReachable whether the last call to the store was answered
	 * @param minPeerConfigurationAgeMillis the age in milliseconds of the youngest
	 * configuration that a peer has lately told of
	 * @param remotePeers the number of routers in other data centres that may be alive,
	 * or of all other routers if there is one data centre only
	 * @param remoteSilenceMillis for how long none of these was heard, in milliseconds
	 */
	public record View(boolean ending, boolean stateKnown, long configurationAgeMillis, boolean storeReachable,
			long minPeerConfigurationAgeMillis, int remotePeers, long remoteSilenceMillis) {
	}

}
