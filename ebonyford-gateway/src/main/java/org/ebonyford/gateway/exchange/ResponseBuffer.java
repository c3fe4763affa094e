package org.ebonyford.gateway.exchange;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * The body of an answer that is read whole before it is passed on.
 */
final class ResponseBuffer {

	/**
	 * The memory for all answers.
	 */
	private final ResponseMemoryBudget budget;

	/**
	 * The bytes.
	 */
	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	ResponseBuffer(ResponseMemoryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Adds a part.
	 * @param part the part, which is read
	 * @return {@code false} if there is no memory for it
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
	 * Returns what was added.
	 * @return the bytes
	 */
	byte[] bytes() {
		return this.bytes.toByteArray();
	}

	/**
	 * Gives the memory back.
	 */
	void release() {
		this.budget.release(this.bytes.size());
		this.bytes.reset();
	}

}
