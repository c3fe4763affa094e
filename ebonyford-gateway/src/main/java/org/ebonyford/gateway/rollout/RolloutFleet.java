package org.ebonyford.gateway.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Map;

import org.ebonyford.directory.UpstreamEntry;

/**
 * What roll-outs need to know of the other gateways and of the upstreams.
 */
public interface RolloutFleet {

	/**
	 * Returns the name of this gateway.
	 * @return the name
	 */
	String self();

	/**
	 * Returns whether the other gateways are known.
	 * @return {@code false} after a start, until their announcements have been read
	 */
	boolean peersKnown();

	/**
	 * Returns the gateways that may be alive and when each was last heard.
	 * @return the times in milliseconds by name, with this gateway
	 */
	Map<String, Long> lastHeard();

	/**
	 * Returns the number of gateways that may be alive.
	 * @return the number, this one included
	 */
	int gatewayCount();

	/**
	 * Returns the gateways that were heard recently and have a view of the store.
	 * @return the names, with this gateway
	 */
	List<String> live();

	/**
	 * Sends a datagram to another gateway.
	 * @param bytes the datagram
	 * @param gateway the name of the gateway
	 */
	void send(byte[] bytes, String gateway);

	/**
	 * Returns the registered upstreams of a service.
	 * @param service the service
	 * @return the upstreams with the number of requests that this gateway has open there
	 */
	Collection<Registered> upstreams(String service);

	/**
	 * Returns the age of this gateway's view of the orders and the progress.
	 * @return the age in milliseconds
	 */
	long viewAgeMillis();

	/**
	 * Starts or stops reading the progress of roll-outs from the store.
	 * @param wanted whether to read it
	 */
	void followProgress(boolean wanted);

	/**
	 * A registered upstream.
	 *
	 * @param entry its entry
	 * @param open the number of requests that this gateway has open there
	 */
	record Registered(UpstreamEntry entry, int open) {
	}

}
