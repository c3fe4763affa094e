package org.ebonyford.router.upstream;

/**
 * The bounds on the connections to upstreams.
 *
 * @param maxConnections the connections to all upstreams together
 * @param maxConnectionsPerUpstream the connections to one upstream
 * @param poolWaitMillis the milliseconds that a request waits for a connection
 * @param connectTimeoutMillis the milliseconds in which a connection must be made
 * @param silenceMillis the milliseconds after which an exchange counts as broken whose
 * connection carries nothing
 * @param keepAliveMillis the milliseconds for which an idle connection is kept
 * @param ioThreads the threads that serve all connections
 * @param maxResumes the attempts to resume one stream
 * @param resumeDelayMillis the milliseconds before an attempt to resume a stream
 */
public record UpstreamSettings(int maxConnections, int maxConnectionsPerUpstream, int poolWaitMillis,
		int connectTimeoutMillis, int silenceMillis, int keepAliveMillis, int ioThreads, int maxResumes,
		int resumeDelayMillis) {

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a bound is too low
	 */
	public UpstreamSettings {
		requirePositive("maxConnections", maxConnections);
		requirePositive("maxConnectionsPerUpstream", maxConnectionsPerUpstream);
		requirePositive("poolWaitMillis", poolWaitMillis);
		requirePositive("connectTimeoutMillis", connectTimeoutMillis);
		requirePositive("silenceMillis", silenceMillis);
		requirePositive("keepAliveMillis", keepAliveMillis);
		requirePositive("ioThreads", ioThreads);
		if (maxResumes < 0 || resumeDelayMillis < 0) {
			throw new IllegalArgumentException("maxResumes and resumeDelayMillis must not be negative");
		}
	}

	/**
	 * Returns the settings of a router whose operator sets nothing.
	 * @return the default settings
	 */
	public static UpstreamSettings defaults() {
		return new UpstreamSettings(4096, 1024, 1000, 1000, 120_000, 20_000, 2, 3, 100);
	}

	private static void requirePositive(String name, long value) {
		if (value < 1) {
			throw new IllegalArgumentException(name + " must be at least 1");
		}
	}

}
