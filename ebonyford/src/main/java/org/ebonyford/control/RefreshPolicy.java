package org.ebonyford.control;

/**
 * When a state in force is appended anew so that the log keeps it.
 *
 * @param ageMillis the age in milliseconds from which a state is appended anew, at most
 * half of the time that the log keeps a record
 * @param spreadMillis the milliseconds over which the routers' attempts are spread
 * @param retryMillis the milliseconds between two attempts of one router
 */
public record RefreshPolicy(long ageMillis, long spreadMillis, long retryMillis) {

	/**
	 * Creates a policy.
	 * @throws IllegalArgumentException if a time is less than 1 millisecond
	 */
	public RefreshPolicy {
		if (ageMillis < 1 || spreadMillis < 1 || retryMillis < 1) {
			throw new IllegalArgumentException("The times of a refresh must be at least 1 ms");
		}
	}

}
