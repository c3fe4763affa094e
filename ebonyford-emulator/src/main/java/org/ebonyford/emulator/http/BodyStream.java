package org.ebonyford.emulator.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * The body of an answer that is written piece by piece. Pieces that come faster than the
 * connection takes them wait together.
 */
public final class BodyStream {

	/**
	 * The exchange that the body belongs to.
	 */
	private final Exchange exchange;

	/**
	 * The answer that the body belongs to.
	 */
	private final Response response;

	/**
	 * Tells the server that the exchange has ended.
	 */
	private final Callback callback;

	/**
	 * What waits for the write under way to end.
	 */
	private final ByteArrayOutputStream waiting = new ByteArrayOutputStream();

	/**
	 * Whether a write is under way.
	 */
	private boolean writing;

	/**
	 * Whether nothing follows what waits.
	 */
	private boolean finished;

	/**
	 * Whether the connection is gone.
	 */
	private boolean broken;

	BodyStream(Exchange exchange, Response response, Callback callback) {
		this.exchange = exchange;
		this.response = response;
		this.callback = callback;
	}

	/**
	 * Writes a piece.
	 * @param piece the piece
	 */
	public void write(byte[] piece) {
		synchronized (this) {
			if (this.broken || this.finished) {
				return;
			}
			this.waiting.writeBytes(piece);
		}
		flush();
	}

	/**
	 * Ends the body as a whole one.
	 */
	public void finish() {
		synchronized (this) {
			if (this.broken || this.finished) {
				return;
			}
			this.finished = true;
		}
		flush();
	}

	/**
	 * Breaks the connection.
	 */
	public void breakOff() {
		synchronized (this) {
			if (this.broken) {
				return;
			}
			this.broken = true;
		}
		this.exchange.breakOff();
	}

	private void flush() {
		ByteBuffer piece;
		boolean last;
		synchronized (this) {
			if (this.writing || this.broken || (this.waiting.size() == 0 && !this.finished)) {
				return;
			}
			this.writing = true;
			piece = ByteBuffer.wrap(this.waiting.toByteArray());
			this.waiting.reset();
			last = this.finished;
		}
		this.response.write(last, piece, last ? this.callback : Callback.from(this::written, this::failed));
	}

	private void written() {
		synchronized (this) {
			this.writing = false;
		}
		flush();
	}

	private void failed(Throwable cause) {
		synchronized (this) {
			this.broken = true;
		}
		this.callback.failed(cause);
	}

}
