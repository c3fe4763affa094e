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
 * @param version the version of its software, whose streams other versions cannot
 * continue
 */
public record UpstreamEntry(String id, String service, String host, int port, String dataCentre, int slots,
		boolean draining, long coldMillis, long startedAt, String version) {

	/**
	 * The greatest port.
	 */
	public static final int GREATEST_PORT = 65_535;

	/**
	 * Creates an entry.
	 * @throws IllegalArgumentException if a number is out of its range
	 */
	public UpstreamEntry {
		if (port < 1 || port > GREATEST_PORT) {
			throw new IllegalArgumentException("The port must be from 1 to " + GREATEST_PORT + ": " + port);
		}
		if (slots < 1 || coldMillis < 0) {
			throw new IllegalArgumentException(
					"There must be a slot and no negative time: " + slots + ", " + coldMillis);
		}
	}

	/**
	 * Returns a copy that is draining.
	 * @return the entry
	 */
	public UpstreamEntry asDraining() {
		return new UpstreamEntry(this.id, this.service, this.host, this.port, this.dataCentre, this.slots, true,
				this.coldMillis, this.startedAt, this.version);
	}

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
