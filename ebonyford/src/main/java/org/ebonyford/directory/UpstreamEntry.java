package org.ebonyford.directory;

/**
 * What an upstream has registered about itself.
 *
 * @param id the identifier, new with most starts
 * @param service the service to which it belongs
 * @param host the IP address
 * @param port the port
 * @param dataCentre the data centre
 * @param slots the number of requests it processes at once
 * @param draining whether it is about to leave and takes no new requests
 * @param coldMillis for how much longer it is cold, in milliseconds
 * @param startedAt the Unix time of its start in milliseconds, 0 if it does not tell
 */
public record UpstreamEntry(String id, String service, String host, int port, String dataCentre, int slots,
		boolean draining, long coldMillis, long startedAt) {

	/**
	 * Returns whether another entry comes from the same start of the same upstream.
	 * @param other the other entry
	 * @return {@code true} if nothing that was known of it is lost
	 */
	public boolean sameStart(UpstreamEntry other) {
		return this.id.equals(other.id) && this.startedAt == other.startedAt && this.port == other.port
				&& this.host.equals(other.host) && this.service.equals(other.service);
	}

}
