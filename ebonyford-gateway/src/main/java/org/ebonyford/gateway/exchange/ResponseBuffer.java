package org.ebonyford.gateway.exchange;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * Collects the body of a response that is buffered completely before it is forwarded.
 */
final class ResponseBuffer {

	/**
	 * The budget that all buffered responses share.
	 */
	private final ResponseMemoryBudget budget;

	/**
	 * The bytes received so far.
	 */
	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	ResponseBuffer(ResponseMemoryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Appends a part of the body if the budget allows it.
	 * @param part the part, consumed if it is appended
	 * @return {@code false} if the budget has no memory for it
	 */
	boolean add(ByteBuf part) {
		byte[] added = new byte[part.readableBytes()];
		if (!this.budget.reserve(this.bytes.size(), added.length)) {
			return false;
		}
		part.readBytes(added);
		this.bytes.writeBytes(added);
		return true;
	}

	/**
	 * Returns a copy of the body so far.
	 * @return the bytes
	 */
	byte[] bytes() {
		return this.bytes.toByteArray();
	}

	/**
	 * Discards the body and releases its memory to the budget.
	 */
	void release() {
		this.budget.release(this.bytes.size());
		this.bytes.reset();
	}

}
