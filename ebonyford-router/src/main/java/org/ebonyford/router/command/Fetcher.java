package org.ebonyford.router.command;

import java.net.URI;
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

}
