package org.ebonyford.peer;

/**
 * The times by which peers are judged.
 *
 * @param heartbeatMillis the milliseconds between two heartbeats
 * @param silenceMillis the milliseconds of silence after which a peer counts as lost
 */
public record PeerTimes(long heartbeatMillis, long silenceMillis) {

	/**
	 * Creates times.
	 * @throws IllegalArgumentException if a peer could count as lost between two
	 * heartbeats
	 */
	public PeerTimes {
		if (heartbeatMillis < 1 || silenceMillis <= heartbeatMillis) {
			throw new IllegalArgumentException("The silence must be longer than the time between two heartbeats");
		}
	}

}
