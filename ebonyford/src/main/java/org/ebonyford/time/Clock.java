package org.ebonyford.time;

/**
 * A monotonic clock in milliseconds.
 */
@FunctionalInterface
public interface Clock {

	/**
	 * Returns the milliseconds that have passed since an arbitrary origin.
	 * @return a reading that never decreases
	 */
	long millis();

	/**
	 * A clock that follows the monotonic time of the machine.
	 */
	enum ForSystem implements Clock {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		/**
		 * The number of nanoseconds in a millisecond.
		 */
		private static final long NANOS_PER_MILLI = 1_000_000L;

		@Override
		public long millis() {
			return System.nanoTime() / NANOS_PER_MILLI;
		}

	}

}
