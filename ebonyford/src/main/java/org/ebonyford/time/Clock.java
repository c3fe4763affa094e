package org.ebonyford.time;

/**
 * A clock in milliseconds. It is monotonic but for the variant that follows the
 * wall-clock time.
 */
@FunctionalInterface
public interface Clock {

	/**
	 * Returns the milliseconds that have passed since an arbitrary origin.
	 * @return the reading
	 */
	long millis();

	/**
	 * A clock that follows the wall-clock time of the machine, in milliseconds since the
	 * epoch, and may be set back.
	 */
	enum ForEpoch implements Clock {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public long millis() {
			return System.currentTimeMillis();
		}

	}

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
