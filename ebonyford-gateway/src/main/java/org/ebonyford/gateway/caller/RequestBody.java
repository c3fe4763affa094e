package org.ebonyford.gateway.caller;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * The body of a request that is being read. It is held in few arrays that are nearly
 * full, so that a client that stops short of the end makes the process hold little more
 * than it has sent.
 */
final class RequestBody {

	/**
	 * Size in bytes of the first array, unless the body is known to be shorter.
	 */
	private static final int MIN_SEGMENT_BYTES = 1_024;

	/**
	 * Maximum size in bytes of an array, unless more than that comes at once.
	 */
	private static final int MAX_SEGMENT_BYTES = 65_536;

	/**
	 * The announced size in bytes, or the limit if it is not announced.
	 */
	private final long maxBytes;

	/**
	 * The arrays, all full apart from the last.
	 */
	private final List<byte[]> segments = new ArrayList<>(1);

	/**
	 * The number of bytes in the last array.
	 */
	private int lastBytes;

	/**
	 * The number of bytes received.
	 */
	private int size;

	/**
	 * The number of bytes held.
	 */
	private int heldBytes;

	RequestBody(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	int size() {
		return this.size;
	}

	int heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Appends a part.
	 * @param part the part, which is consumed
	 */
	void add(ByteBuf part) {
		while (part.isReadable()) {
			byte[] last = this.segments.isEmpty() ? null : this.segments.get(this.segments.size() - 1);
			if (last == null || this.lastBytes == last.length) {
				last = grow(part.readableBytes());
			}
			int bytes = Math.min(part.readableBytes(), last.length - this.lastBytes);
			part.readBytes(last, this.lastBytes, bytes);
			this.lastBytes += bytes;
			this.size += bytes;
		}
	}

	private byte[] grow(int needed) {
		int wanted = Math.max(needed, Math.min(Math.max(this.heldBytes, MIN_SEGMENT_BYTES), MAX_SEGMENT_BYTES));
		byte[] added = new byte[(int) Math.max(Math.min(wanted, this.maxBytes - this.size), needed)];
		this.segments.add(added);
		this.lastBytes = 0;
		this.heldBytes += added.length;
		return added;
	}

	/**
	 * Returns the whole body. It is copied unless it fills a single array.
	 * @return the bytes
	 */
	byte[] bytes() {
		if (this.segments.size() == 1 && this.segments.get(0).length == this.size) {
			return this.segments.get(0);
		}
		byte[] whole = new byte[this.size];
		int position = 0;
		for (byte[] segment : this.segments) {
			int bytes = Math.min(segment.length, this.size - position);
			System.arraycopy(segment, 0, whole, position, bytes);
			position += bytes;
		}
		return whole;
	}

}
