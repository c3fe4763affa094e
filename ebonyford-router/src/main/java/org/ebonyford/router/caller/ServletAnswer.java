package org.ebonyford.router.caller;

import java.io.IOException;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.IntConsumer;

import jakarta.servlet.AsyncContext;
import jakarta.servlet.AsyncEvent;
import jakarta.servlet.AsyncListener;
import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.WriteListener;
import jakarta.servlet.http.HttpServletResponse;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;

import org.ebonyford.time.Clock;

/**
 * An answer through a servlet's asynchronous output. Pieces wait in a queue while the
 * caller's connection takes none; whoever writes them is told when they have gone, so
 * that the queue stays within the bound which that side keeps.
 */
final class ServletAnswer implements Answer, WriteListener, AsyncListener {

	/**
	 * The request in the servlet container.
	 */
	private final AsyncContext context;

	/**
	 * Tells how long pieces have been waiting.
	 */
	private final Clock clock;

	/**
	 * Is run once if the caller leaves before its answer has ended.
	 */
	private final Runnable left;

	/**
	 * Watches the connection until the answer starts.
	 */
	private final ConnectionWatch watch;

	/**
	 * The pieces that wait for the caller's connection.
	 */
	private final Deque<byte[]> pieces = new ArrayDeque<>();

	/**
	 * How far the answer has got.
	 */
	private State state = State.OPEN;

	/**
	 * Takes the number of bytes of each piece that has gone.
	 */
	private IntConsumer drained = (bytes) -> {
	};

	/**
	 * The output of an answer that was started.
	 */
	private ServletOutputStream output;

	/**
	 * Whether the container said that it calls back when it takes more.
	 */
	private boolean waiting;

	/**
	 * Whether a piece was written that is not flushed yet.
	 */
	private boolean flushDue;

	/**
	 * When the caller's connection last took something.
	 */
	private long progress;

	/**
	 * Whether the request has arrived whole.
	 */
	private boolean arrived;

	/**
	 * When the request must have arrived whole.
	 */
	private long arrivalLimit = Long.MAX_VALUE;

	/**
	 * Is run if the request has not arrived in time.
	 */
	private Runnable expiry = () -> {
	};

	/**
	 * Creates an answer.
	 * @param context the request in the servlet container
	 * @param clock tells how long pieces have been waiting
	 * @param left is run once if the caller leaves before its answer has ended
	 */
	ServletAnswer(AsyncContext context, Clock clock, Runnable left) {
		this.context = context;
		this.clock = clock;
		this.left = left;
		this.watch = new ConnectionWatch(endPoint());
	}

	/**
	 * Returns what watches the connection until the answer starts.
	 * @return the watch
	 */
	ConnectionWatch watch() {
		return this.watch;
	}

	@Override
	public synchronized boolean started() {
		return this.state != State.OPEN;
	}

	@Override
	public void whole(int status, List<HeaderField> headers, byte[] body) {
		if (!advance(State.OPEN, State.ENDED)) {
			return;
		}
		try {
			head(status, headers);
			this.context.getResponse().getOutputStream().write(body);
		}
		catch (IOException | IllegalStateException ex) {
			disconnect();
		}
		complete();
	}

	@Override
	public void start(int status, List<HeaderField> headers, IntConsumer consumer) {
		synchronized (this) {
			if (!advance(State.OPEN, State.STARTED)) {
				return;
			}
			this.drained = consumer;
			this.waiting = true;
			this.progress = this.clock.millis();
		}
		try {
			head(status, headers);
			ServletOutputStream stream = this.context.getResponse().getOutputStream();
			synchronized (this) {
				this.output = stream;
			}
			stream.setWriteListener(this);
		}
		catch (IOException | IllegalStateException ex) {
			leave();
		}
	}

	@Override
	public void write(byte[] bytes) {
		synchronized (this) {
			if (this.state != State.STARTED) {
				return;
			}
			if (this.pieces.isEmpty() && !this.waiting) {
				this.progress = this.clock.millis();
			}
			this.pieces.add(bytes);
		}
		pump();
	}

	@Override
	public void finish() {
		if (advance(State.STARTED, State.FINISHING)) {
			pump();
		}
	}

	@Override
	public void abort() {
		if (end()) {
			disconnect();
			complete();
		}
	}

	/**
	 * Sets what happens to a request that does not arrive in time.
	 * @param millis the milliseconds in which the request must arrive
	 * @param action is run if it does not
	 */
	synchronized void limitArrival(long millis, Runnable action) {
		this.arrivalLimit = this.clock.millis() + millis;
		this.expiry = action;
	}

	/**
	 * Takes the news that the request has arrived whole.
	 */
	synchronized void arrived() {
		this.arrived = true;
	}

	/**
	 * Looks after a request that waits for its answer or still arrives.
	 * @param selector what waits for the connection
	 */
	void attend(Selector selector) {
		if (hasArrived()) {
			this.watch.begin(selector, this);
		}
		else if (this.clock.millis() > arrivalLimit()) {
			expiry().run();
		}
	}

	/**
	 * Returns whether the answer has ended.
	 * @return {@code true} if the caller left or has its whole answer
	 */
	synchronized boolean isEnded() {
		return this.state == State.ENDED;
	}

	/**
	 * Returns whether the caller's connection has taken nothing for a while although
	 * something waits for it.
	 * @param millis the milliseconds that a caller may take nothing
	 * @return {@code true} if the caller is to be cut off
	 */
	synchronized boolean isStalled(long millis) {
		boolean writing = this.state == State.STARTED || this.state == State.FINISHING;
		return writing && this.waiting && this.clock.millis() - this.progress > millis;
	}

	/**
	 * Breaks the connection to the caller and tells that the caller left.
	 */
	void leave() {
		if (end()) {
			disconnect();
			complete();
			this.left.run();
		}
	}

	@Override
	public void onWritePossible() {
		synchronized (this) {
			this.waiting = false;
			this.progress = this.clock.millis();
		}
		pump();
	}

	@Override
	public void onError(Throwable ex) {
		leave();
	}

	@Override
	public void onError(AsyncEvent event) {
		leave();
	}

	@Override
	public void onTimeout(AsyncEvent event) {
		leave();
	}

	@Override
	public void onComplete(AsyncEvent event) {
	}

	@Override
	public void onStartAsync(AsyncEvent event) {
	}

	private synchronized boolean hasArrived() {
		return this.arrived;
	}

	private synchronized long arrivalLimit() {
		return this.arrivalLimit;
	}

	private synchronized Runnable expiry() {
		return this.expiry;
	}

	private void pump() {
		int gone = 0;
		boolean done = false;
		boolean broken = false;
		synchronized (this) {
			try {
				gone = writeReady();
				done = this.state == State.FINISHING && this.pieces.isEmpty() && !this.waiting;
				this.state = done ? State.ENDED : this.state;
			}
			catch (IOException | IllegalStateException ex) {
				broken = true;
			}
		}
		if (broken) {
			leave();
			return;
		}
		if (gone > 0) {
			this.drained.accept(gone);
		}
		if (done) {
			complete();
		}
	}

	private int writeReady() throws IOException {
		int gone = 0;
		boolean writing = this.state == State.STARTED || this.state == State.FINISHING;
		while (writing && !this.waiting && (this.flushDue || !this.pieces.isEmpty())) {
			if (!this.output.isReady()) {
				this.waiting = true;
				break;
			}
			if (this.pieces.isEmpty()) {
				this.flushDue = false;
				this.output.flush();
				continue;
			}
			byte[] piece = this.pieces.remove();
			this.flushDue = true;
			this.progress = this.clock.millis();
			this.output.write(piece);
			gone += piece.length;
		}
		return gone;
	}

	private void head(int status, List<HeaderField> headers) {
		HttpServletResponse response = (HttpServletResponse) this.context.getResponse();
		response.setStatus(status);
		if (!this.watch.stop()) {
			response.setHeader("Connection", "close");
		}
		for (HeaderField header : headers) {
			response.addHeader(header.name(), header.value());
		}
	}

	private synchronized boolean advance(State from, State to) {
		if (this.state != from) {
			return false;
		}
		this.state = to;
		return true;
	}

	private synchronized boolean end() {
		if (this.state == State.ENDED) {
			return false;
		}
		this.state = State.ENDED;
		this.pieces.clear();
		return true;
	}

	private void disconnect() {
		this.watch.stop();
		endPoint().close();
		if (!this.context.getResponse().isCommitted()) {
			this.context.getResponse().reset();
		}
	}

	private EndPoint endPoint() {
		return ServletContextRequest.getServletContextRequest(this.context.getRequest())
			.getConnectionMetaData()
			.getConnection()
			.getEndPoint();
	}

	private void complete() {
		try {
			this.context.complete();
		}
		catch (IllegalStateException ex) {
			// The container has already ended the request after an error.
			return;
		}
	}

	/**
	 * How far an answer has got.
	 */
	private enum State {

		/** Nothing was written. */
		OPEN,

		/** The answer is being written. */
		STARTED,

		/** The last piece was written and waits to go out. */
		FINISHING,

		/** The answer has ended. */
		ENDED

	}

}
