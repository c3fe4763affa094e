package org.ebonyford.emulator.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Waits for conditions.
 */
public final class Await {

	/**
	 * The nanoseconds between two looks at a condition.
	 */
	private static final long INTERVAL_NANOS = 20_000_000L;

	private Await() {
	}

	/**
	 * Waits until a condition holds.
	 * @param what what is waited for, in words
	 * @param seconds the seconds to wait at most
	 * @param condition the condition
	 * @throws IllegalStateException if the condition does not hold by then
	 */
	public static void until(String what, long seconds, BooleanSupplier condition) {
		until(() -> what, seconds, condition);
	}

	/**
	 * Waits until a condition holds.
	 * @param what tells what is waited for, at the moment of the failure
	 * @param seconds the seconds to wait at most
	 * @param condition the condition
	 * @throws IllegalStateException if the condition does not hold by then
	 */
	public static void until(Supplier<String> what, long seconds, BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - end > 0) {
				throw new IllegalStateException("Waited " + seconds + " s in vain for " + what.get());
			}
			LockSupport.parkNanos(INTERVAL_NANOS);
		}
	}

}
