package org.ebonyford.emulator.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Chooses ports that are free, none of them twice. They lie below the range from which
 * the system takes the ports of outgoing connections, so that a process can be started
 * again at its port however many connections were made meanwhile. JVMs that run beside
 * each other take theirs from ranges of their own: whoever listens at the first port of a
 * range owns the range.
 */
public final class Ports {

	/**
	 * The first port of the first range. Lower ports often belong to other programs.
	 */
	private static final int LOWEST = 10_000;

	/**
	 * The number of ports in a range: several times those of all sites that a test JVM
	 * starts.
	 */
	private static final int RANGE = 2_000;

	/**
	 * The number of ranges that fit below port 32768, where outgoing ports start.
	 */
	private static final int RANGES = 11;

	/**
	 * Listens at the first port of this JVM's range for as long as the JVM lives.
	 */
	private static ServerSocket guard;

	/**
	 * The port that is tried next.
	 */
	private static int next;

	private Ports() {
	}

	/**
	 * Chooses a port of the loopback address.
	 * @return a port that was free at the moment of the call
	 * @throws IllegalStateException if no port is left
	 */
	public static synchronized int choose() {
		if (guard == null) {
			guard = claim();
			next = guard.getLocalPort() + 1;
		}
		while (next < guard.getLocalPort() + RANGE) {
			int port = next++;
			try (ServerSocket socket = listen(port)) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// Another program uses the port; the next one is tried.
			}
		}
		throw new IllegalStateException("No port of the range at " + guard.getLocalPort() + " is left");
	}

	private static ServerSocket claim() {
		for (int range = 0; range < RANGES; range++) {
			try {
				return listen(LOWEST + range * RANGE);
			}
			catch (IOException ex) {
				// Another JVM owns the range; the next one is tried.
			}
		}
		throw new IllegalStateException("No range of ports is left");
	}

	private static ServerSocket listen(int port) throws IOException {
		ServerSocket socket = new ServerSocket();
		try {
			socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1);
			return socket;
		}
		catch (IOException ex) {
			socket.close();
			throw ex;
		}
	}

}
