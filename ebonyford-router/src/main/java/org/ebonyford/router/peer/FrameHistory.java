package org.ebonyford.router.peer;

/**
 * The last bytes that went through a stream, which both of its ends know. What comes next
 * is packed as its differences from them.
 */
final class FrameHistory {

	/**
	 * The bytes that are kept.
	 */
	private static final int MAX_BYTES = 8 * 1024;

	/**
	 * The bytes, the latest last.
	 */
	private byte[] bytes = {};

	/**
	 * Returns the last bytes.
	 * @return the bytes, the latest last, which must not be changed
	 */
	byte[] bytes() {
		return this.bytes;
	}

	/**
	 * Takes in bytes that went through the stream.
	 * @param latest the bytes
	 */
	void add(byte[] latest) {
		int added = Math.min(latest.length, MAX_BYTES);
		int kept = Math.min(this.bytes.length, MAX_BYTES - added);
		byte[] next = new byte[kept + added];
		System.arraycopy(this.bytes, this.bytes.length - kept, next, 0, kept);
		System.arraycopy(latest, latest.length - added, next, kept, added);
		this.bytes = next;
	}

}
