package org.ebonyford.router.peer;

import java.io.File;
import java.util.Objects;
import java.util.Optional;

/**
 * How routers reach each other.
 *
 * @param host the address that the routers' own interface listens on
 * @param port the port, 0 to have the system choose one
 * @param secret the secret that all routers of the fleet share
 * @param identity the certificate and key of this router, empty to speak without TLS
 * @param keepAliveMillis how long a link may be silent before it is probed, in
 * milliseconds
 * @param maxUnsent the messages that may wait on a link before it is opened anew
 */
public record PeerSettings(String host, int port, String secret, Optional<TlsIdentity> identity, long keepAliveMillis,
		int maxUnsent) {

	/**
	 * Creates settings.
	 * @throws NullPointerException if the host, the secret or the identity is
	 * {@code null}
	 */
	public PeerSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(secret, "secret");
		Objects.requireNonNull(identity, "identity");
	}

	/**
	 * The files with which a router proves what it is.
	 *
	 * @param certificate the certificate chain in PEM form
	 * @param key the private key in PEM form
	 * @param authorities the certificates of the authorities that peers are trusted by,
	 * in PEM form
	 */
	public record TlsIdentity(File certificate, File key, File authorities) {

	}

}
