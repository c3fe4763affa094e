package org.ebonyford.peer;

/**
 * How recent the knowledge of a router is.
 *
 * @param controlVersion the version of its control state, or -1 if there is none
 * @param listRevision the revision of its VM list, or -1 if there is none
 */
public record Knowledge(long controlVersion, long listRevision) {

	/**
	 * Returns whether this knowledge has something that another lacks.
	 * @param other the other knowledge
	 * @return {@code true} if the version or the revision is higher than the other's
	 */
	public boolean exceeds(Knowledge other) {
		return this.controlVersion > other.controlVersion || this.listRevision > other.listRevision;
	}

}
