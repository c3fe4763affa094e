package org.ebonyford.router.caller;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;

import jakarta.servlet.ReadListener;
import jakarta.servlet.ServletInputStream;

/**
 * Reads a body without holding a thread, and never more of it than is allowed.
 */
final class BodyReader implements ReadListener {

	/**
	 * The bytes that are read at a time.
	 */
	private static final int STEP = 8192;

	/**
	 * The bytes that the body may have.
	 */
	private final int maxBytes;

	/**
	 * The body in the servlet container.
	 */
	private final ServletInputStream input;

	/**
	 * Where the room for bytes is taken.
	 */
	private final PendingRequests pending;

	/**
	 * The body once it is whole, or a failure with a {@link RejectedException}.
	 */
	private final CompletableFuture<byte[]> body = new CompletableFuture<>();

	/**
	 * What was read, with room for more.
	 */
	private byte[] buffer = new byte[0];

	/**
	 * The bytes that were read.
	 */
	private int length;

	/**
	 * Creates a reader.
	 * @param maxBytes the bytes that the body may have
	 * @param input the body in the servlet container
	 * @param pending where the room for bytes is taken
	 */
	BodyReader(int maxBytes, ServletInputStream input, PendingRequests pending) {
		this.maxBytes = maxBytes;
		this.input = input;
		this.pending = pending;
	}

	/**
	 * Starts to read.
	 * @return the body once it is whole, or a failure with a {@link RejectedException};
	 * whoever gets a body has to give back the room for its bytes
	 */
	CompletableFuture<byte[]> read() {
		this.input.setReadListener(this);
		return this.body;
	}

	@Override
	public synchronized void onDataAvailable() throws IOException {
		byte[] step = new byte[STEP];
		while (!this.body.isDone() && this.input.isReady() && !this.input.isFinished()) {
			int count = this.input.read(step);
			if (count > 0) {
				append(step, count);
			}
		}
	}

	@Override
	public synchronized void onAllDataRead() {
		this.body.complete(Arrays.copyOf(this.buffer, this.length));
	}

	/**
	 * Gives up a body that has not arrived in time.
	 */
	synchronized void expire() {
		reject(Rejection.BODY_TIMEOUT, "The body did not arrive in time.");
	}

	@Override
	public synchronized void onError(Throwable ex) {
		reject(Rejection.BODY_TIMEOUT, "The body did not arrive whole.");
	}

	private void append(byte[] step, int count) {
		if (this.length + count > this.maxBytes) {
			reject(Rejection.BODY_TOO_LARGE, "The body has more than " + this.maxBytes + " bytes.");
			return;
		}
		if (!this.pending.tryReserve(count)) {
			reject(Rejection.OVERLOADED, "The router holds as many bytes as it may.");
			return;
		}
		if (this.length + count > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(2 * this.buffer.length, this.length + count));
		}
		System.arraycopy(step, 0, this.buffer, this.length, count);
		this.length += count;
	}

	private void reject(Rejection rejection, String detail) {
		if (!this.body.isDone()) {
			int reserved = this.length;
			this.length = 0;
			this.pending.release(reserved);
			this.body.completeExceptionally(new RejectedException(rejection, detail));
		}
	}

}
