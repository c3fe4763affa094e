package org.ebonyford.router;

import java.util.concurrent.CompletableFuture;

import org.ebonyford.router.settings.RouterSettings;

/**
 * Runs a router in this process.
 */
@FunctionalInterface
public interface RouterLauncher {

	/**
	 * Starts a router.
	 * @param settings the settings of the router
	 * @return completes once the router has ended, or fails with the reason for which it
	 * cannot run
	 */
	CompletableFuture<Void> launch(RouterSettings settings);

	/**
	 * Runs no router.
	 */
	enum Disabled implements RouterLauncher {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public CompletableFuture<Void> launch(RouterSettings settings) {
			return CompletableFuture.failedFuture(new UnsupportedOperationException("This program runs no router"));
		}

	}

}
