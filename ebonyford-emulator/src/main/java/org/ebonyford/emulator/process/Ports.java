package org.ebonyford.emulator.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Chooses ports that are free, none of them twice. They lie below the range from which
 * the system takes the ports of outgoing connections, so that a process can be started
 * again at its port however many connections were made meanwhile. Test JVMs that run
 * beside each other take theirs from ranges of their own.
 */
public final class Ports {

	/**
	 * The system property in which the test runner numbers its JVMs from 1.
	 */
	private static final String FORK_NUMBER = "surefire.forkNumber";

	/**
	 * The lowest port of the first range. Lower ports often belong to other programs.
	 */
	private static final int LOWEST = 10_000;

	/**
	 * The number of ports in a range.
	 */
	private static final int RANGE = 4_000;

	/**
	 * The number of ranges that fit below port 32768, where outgoing ports start.
	 */
	private static final int RANGES = 5;

	/**
	 * The number of ports that were tried already.
	 */
	private static int tried;

	private Ports() {
	}

	/**
	 * Chooses a port of the loopback address.
	 * @return a port that was free at the moment of the call
	 * @throws IllegalStateException if no port of the range is left
	 */
	public static synchronized int choose() {
		int first = LOWEST + RANGE * (Integer.getInteger(FORK_NUMBER, 0) % RANGES);
		while (tried < RANGE) {
			int port = first + tried++;
			if (free(port)) {
				return port;
			}
		}
		throw new IllegalStateException("No port is left between " + first + " and " + (first + RANGE - 1));
	}

	private static boolean free(int port) {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
