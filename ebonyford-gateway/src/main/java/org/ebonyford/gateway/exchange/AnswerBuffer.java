package org.ebonyford.gateway.exchange;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * The body of an answer that is read whole before it is passed on.
 */
final class AnswerBuffer {

	/**
	 * The memory for all answers.
	 */
	private final AnswerMemory memory;

	/**
	 * The bytes.
	 */
	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	AnswerBuffer(AnswerMemory memory) {
		this.memory = memory;
	}

	/**
	 * Adds a part.
	 * @param part the part, which is read
	 * @return {@code false} if there is no memory for it
	 */
	boolean add(ByteBuf part) {
		byte[] added = new byte[part.readableBytes()];
		if (!this.memory.take(this.bytes.size(), added.length)) {
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
		this.memory.release(this.bytes.size());
		this.bytes.reset();
	}

}
