package org.ebonyford.peer;

/**
 * What a message tells about the process that sent it.
 */
public enum Sighting {

	/**
	 * The process is the one that was heard before.
	 */
	KNOWN,

	/**
	 * The process was never heard before, or was given up as lost.
	 */
	NEW,

	/**
	 * The process has ended, since a later one on the same VM was heard.
	 */
	ENDED

}
