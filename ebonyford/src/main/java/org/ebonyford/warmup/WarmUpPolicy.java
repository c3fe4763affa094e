package org.ebonyford.warmup;

import org.ebonyford.configuration.Pool;

/**
 * Decides how many requests an upstream bears after it completed some. The result depends
 * on nothing but the arguments, so that all routers with the same report agree.
 */
@FunctionalInterface
public interface WarmUpPolicy {

	/**
	 * Returns the limit of an upstream.
	 * @param pool the pool of the upstream
	 * @param completed the requests that completed since the upstream started
	 * @return the requests that the upstream bears at a time
	 */
	int limit(Pool pool, long completed);

	/**
	 * Adds one request to the limit after every fixed number of completions.
	 *
	 * @param completionsPerStep the completions that raise the limit by one
	 */
	record ForCompletions(int completionsPerStep) implements WarmUpPolicy {

		/**
		 * Creates a warm-up.
		 * @throws IllegalArgumentException if the number of completions is less than 1
		 */
		public ForCompletions {
			if (completionsPerStep < 1) {
				throw new IllegalArgumentException("A step of the warm-up needs at least 1 completion");
			}
		}

		@Override
		public int limit(Pool pool, long completed) {
			long raised = pool.coldLimit() + completed / this.completionsPerStep;
			return (int) Math.min(pool.warmLimit(), raised);
		}

	}

	/**
	 * Takes every upstream for warm.
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
