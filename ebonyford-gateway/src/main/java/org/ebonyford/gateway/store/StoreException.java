package org.ebonyford.gateway.store;

/**
 * A call to the store that did not succeed.
 */
public class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Whether the records that were asked for are gone.
	 */
	private final boolean forgotten;

	/**
	 * Creates an exception.
	 * @param message what the store answered
	 * @param forgotten whether the records that were asked for are gone
	 */
	public StoreException(String message, boolean forgotten) {
		super(message);
		this.forgotten = forgotten;
	}

	/**
	 * Returns whether the records that were asked for are gone, so that the topic has to
	 * be read from its newest state.
	 * @return {@code true} if a repetition is of no use
	 */
	public boolean forgotten() {
		return this.forgotten;
	}

}
