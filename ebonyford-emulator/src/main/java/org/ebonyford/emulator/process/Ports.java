package org.ebonyford.emulator.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Has the system choose ports that are free, none of them twice.
 */
public final class Ports {

	/**
	 * The ports that were chosen already.
	 */
	private static final Set<Integer> CHOSEN = new HashSet<>();

	private Ports() {
	}

	/**
	 * Chooses a port of the loopback address.
	 * @return a port that was free at the moment of the call
	 */
	public static synchronized int choose() {
		while (true) {
			try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
				if (CHOSEN.add(socket.getLocalPort())) {
					return socket.getLocalPort();
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

}
