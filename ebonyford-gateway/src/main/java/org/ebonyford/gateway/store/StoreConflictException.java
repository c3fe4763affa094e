package org.ebonyford.gateway.store;

/**
 * A conditional append that the store refused, as the partition does not end at the
 * expected offset.
 */
public final class StoreConflictException extends StoreException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param at the offset at which the partition was expected to end
	 */
	public StoreConflictException(long at) {
		super("The partition does not end at " + at, false);
	}

}
