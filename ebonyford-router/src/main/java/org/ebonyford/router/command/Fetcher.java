package org.ebonyford.router.command;

import java.net.URI;
import java.security.KeyStore;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads documents over HTTP.
 */
@FunctionalInterface
public interface Fetcher {

	/**
	 * Reads a document.
	 * @param address the address of the document
	 * @param bearer the secret to show, or empty to show none
	 * @return the document, or a failure if the answer is not 200 or does not come
	 */
	CompletableFuture<String> fetch(URI address, Optional<String> bearer);

	/**
	 * Returns a copy that trusts servers by other authorities than those of the Java
	 * runtime.
	 * @param authorities the certificates of the authorities
	 * @return the copy, or this instance if it speaks no TLS
	 */
	default Fetcher trusting(KeyStore authorities) {
		return this;
	}

}
