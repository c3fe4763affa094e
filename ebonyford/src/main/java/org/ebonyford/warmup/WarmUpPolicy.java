package org.ebonyford.warmup;

import org.ebonyford.configuration.Pool;

/**
 * Computes the concurrency limit of an upstream that is warming up from the requests that
 * it has completed. The result depends only on the arguments, so that all routers with
 * the same report agree.
 */
@FunctionalInterface
public interface WarmUpPolicy {

	/**
	 * Returns the concurrency limit of an upstream.
	 * @param pool the pool of the upstream
	 * @param completed the requests that completed since the upstream started
	 * @return the maximum number of concurrent requests
	 */
	int limit(Pool pool, long completed);

	/**
	 * Adds one request to the limit after every fixed number of completions.
	 *
	 * @param completionsPerStep the completions that raise the limit by one
	 */
	record ForCompletions(int completionsPerStep) implements WarmUpPolicy {

		/**
		 * Creates a policy.
		 * @throws IllegalArgumentException if the number of completions is less than 1
		 */
		public ForCompletions {
			if (completionsPerStep < 1) {
				throw new IllegalArgumentException("completionsPerStep must be at least 1");
			}
		}

		@Override
		public int limit(Pool pool, long completed) {
			long raised = pool.coldLimit() + completed / this.completionsPerStep;
			return (int) Math.min(pool.warmLimit(), raised);
		}

	}

	/**
	 * Treats every upstream as warm.
	 */
	enum Disabled implements WarmUpPolicy {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public int limit(Pool pool, long completed) {
			return pool.warmLimit();
		}

	}

}
