package org.ebonyford.router.settings;

import java.nio.file.Path;
import java.util.Optional;

/**
 * An interface that a router listens on.
 *
 * @param host the host name or IP number
 * @param port the port, or 0 to have the system choose one
 * @param tls the files for TLS, or empty to listen without
 */
public record Listener(String host, int port, Optional<Tls> tls) {

	/**
	 * The files for TLS, all in PEM form.
	 *
	 * @param certificate the certificate chain
	 * @param key the private key
	 * @param authorities the certificates of the authorities that clients are trusted by,
	 * or empty to ask clients for no certificate
	 */
	public record Tls(Path certificate, Path key, Optional<Path> authorities) {

	}

}
