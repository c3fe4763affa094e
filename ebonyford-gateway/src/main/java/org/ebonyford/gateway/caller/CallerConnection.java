package org.ebonyford.gateway.caller;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

import org.ebonyford.catalog.CallerLimits;
import org.ebonyford.lifecycle.RequestMemory;
import org.ebonyford.time.Clock;

/**
 * A connection of a caller. It reads requests whole, hands them on one at a time, and
 * keeps what a caller sends ahead until the last byte of the answer before has been
 * handed to the network. After the last answer it ends its own side first and discards
 * what still comes, since closing a socket with unread bytes resets the connection, by
 * which the caller may lose the end of the answer.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * The maximum number of bytes that are kept while a request is open, before reading
	 * stops.
	 */
	private static final int MAX_WAITING_BYTES = 65_536;

	/**
	 * What a connection holds without a request, in bytes: the channel, its handlers and
	 * their buffers.
	 */
	private static final int CONNECTION_BYTES = 8_192;

	/**
	 * Factor on the bytes of a head while its request is served, as the head that is sent
	 * to the upstream is a copy.
	 */
	private static final int HEAD_COPIES = 2;

	/**
	 * The number of parts of a body in one read above which reading pauses: they are
	 * smaller than 64 bytes on average, and decoding them takes over a hundred times as
	 * long as their size warrants.
	 */
	private static final int MAX_PARTS_PER_READ = 1_024;

	/**
	 * The {@code Retry-After} in seconds of requests for which there is no room: much of
	 * what is held is given up within that time.
	 */
	private static final int RETRY_AFTER_SECONDS = 1;

	/**
	 * How long in milliseconds a caller may take to close its side after the last answer,
	 * and, after the deadline of its request, to take further bytes of the answer: many
	 * round trips.
	 */
	private static final long LINGER_MILLIS = 1_000;

	/**
	 * The server to which the connection belongs.
	 */
	private final CallerServer server;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The limits in force.
	 */
	private final Supplier<CallerLimits> limitsInForce;

	/**
	 * Encodes the answers.
	 */
	private final AnswerEncoder encoder;

	/**
	 * What the connection holds.
	 */
	private final RequestMemory.Holding<CallerConnection> holding;

	/**
	 * The channel.
	 */
	private Channel channel;

	/**
	 * Decodes the requests, {@code null} once nothing more is read.
	 */
	private StrictRequestDecoder decoder;

	/**
	 * The number of bytes that have come.
	 */
	private long received;

	/**
	 * The number of parts of a body that were decoded of the last read.
	 */
	private int parts;

	/**
	 * The head of the request that is being read, {@code null} between requests.
	 */
	private HttpRequest head;

	/**
	 * The body of the request that is being read.
	 */
	private RequestBody body = new RequestBody(0);

	/**
	 * The request that is open, {@code null} if there is none.
	 */
	private OpenRequest open;

	/**
	 * The limits that were in force when the request being read, or the wait for one,
	 * began.
	 */
	private CallerLimits limitsAtStart;

	/**
	 * When the last answer ended, or the connection or the request being read began, in
	 * milliseconds.
	 */
	private long since;

	/**
	 * Whether bytes of a request have come that is not read whole.
	 */
	private boolean reading;

	/**
	 * Whether nothing more is read, as the connection is about to close.
	 */
	private boolean closing;

	/**
	 * When this side was ended after the last answer, in milliseconds, 0 before that.
	 */
	private long lingersSince;

	CallerConnection(CallerServer server, Clock clock, Supplier<CallerLimits> limits, AnswerEncoder encoder) {
		this.server = server;
		this.clock = clock;
		this.limitsInForce = limits;
		this.limitsAtStart = limits.get();
		this.encoder = encoder;
		this.decoder = new StrictRequestDecoder(this.limitsAtStart, () -> this.open != null);
		this.holding = server.memory().open(this, clock.millis());
	}

	StrictRequestDecoder decoder() {
		return this.decoder;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.since = this.clock.millis();
	}

	/**
	 * Returns the limits on what is being read. A caller may still go by the
	 * configuration that was in force when it began, or already by a newer one.
	 * @return the limits, the greater of each two if the configuration has changed
	 */
	private CallerLimits limits() {
		CallerLimits inForce = this.limitsInForce.get();
		return (inForce == this.limitsAtStart) ? inForce : this.limitsAtStart.orMore(inForce);
	}

	/**
	 * Closes the connection if a limit on time was exceeded, or if it is idle and the
	 * process is about to end.
	 * @param ending whether the process is about to end
	 */
	void check(boolean ending) {
		long now = this.clock.millis();
		account();
		if (this.open != null) {
			this.open.checkDelivery(now);
			return;
		}
		if (this.closing) {
			if (this.lingersSince > 0 && now - this.lingersSince > LINGER_MILLIS) {
				this.channel.close();
			}
			return;
		}
		long waited = now - this.since;
		if (this.reading) {
			if (waited > limits().headerMillis() && this.head == null) {
				refuse(HttpResponseStatus.REQUEST_TIMEOUT);
			}
			else if (waited > limits().idleMillis()) {
				refuse(HttpResponseStatus.REQUEST_TIMEOUT);
			}
		}
		else if (waited > (ending ? CallerServer.QUIET_MILLIS : limits().idleMillis())) {
			// Unlike after a last answer, a request that crosses the close stays unread,
			// so that its caller may send it again.
			this.closing = true;
			this.channel.close();
		}
	}

	/**
	 * Returns whether a request is open or being read, its answer is being sent, or the
	 * caller has yet to notice the end of the last answer.
	 * @return {@code true} if the caller awaits an answer
	 */
	boolean busy() {
		return this.open != null || this.reading || this.lingersSince > 0;
	}

	/**
	 * Returns whether an answer is complete but bytes of it still wait to be sent.
	 * @return {@code true} if the caller takes them slowly
	 */
	boolean unsent() {
		return this.open != null && this.open.done;
	}

	/**
	 * Returns whether the last answer was sent and what still comes is discarded.
	 * @return {@code true} if this side of the connection has ended
	 */
	boolean lastAnswerSent() {
		return this.lingersSince > 0;
	}

	/**
	 * Ends this side of the connection, on which nothing waits to be sent, and waits for
	 * the caller to end the other.
	 */
	private void endOutput() {
		this.closing = true;
		this.reading = false;
		this.lingersSince = this.clock.millis();
		this.server.busy(this);
		account();
		this.channel.config().setAutoRead(true);
		((DuplexChannel) this.channel).shutdownOutput();
	}

	/**
	 * Closes the connection, on which nothing has come since the last answer.
	 */
	void closeIdle() {
		this.closing = true;
		this.server.busy(this);
		this.channel.close();
	}

	/**
	 * Lets the request that is open or being read be answered, as the process is about to
	 * go.
	 */
	void processEnds() {
		if (this.open != null) {
			this.open.processEnds();
		}
		else if (this.reading && !this.closing) {
			refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
		}
	}

	CallerServer server() {
		return this.server;
	}

	/**
	 * Records what the connection holds.
	 */
	void account() {
		long pending = unsentBytes();
		RequestMemory.Phase phase = (this.open != null)
				? (pending > 0) ? RequestMemory.Phase.SENDING : RequestMemory.Phase.SERVED
				: (this.reading && !this.closing) ? RequestMemory.Phase.READING : RequestMemory.Phase.IDLE;
		long held = CONNECTION_BYTES + pending + this.body.heldBytes();
		if (this.decoder != null) {
			held += this.decoder.bufferBytes();
		}
		if (this.open != null) {
			held += this.open.heldBytes;
		}
		else if (this.reading && this.decoder != null) {
			held += this.decoder.headBytes();
		}
		this.holding.update(phase, held, this.received - pending, this.clock.millis());
	}

	private long unsentBytes() {
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	/**
	 * Gives way, as too much memory or too many descriptors are held. A request that is
	 * being read has not run and is refused; an answer is cut.
	 */
	void evict() {
		if (this.open != null) {
			this.open.cut();
		}
		else if (this.reading) {
			answerAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
		}
		else {
			closeIdle();
		}
	}

	/**
	 * Closes the connection without an answer, as too many descriptors are open. A
	 * refusal would keep the descriptor until the caller ends its side.
	 */
	void closeNow() {
		if (this.open != null) {
			this.open.cut();
		}
		else {
			closeIdle();
		}
	}

	/**
	 * Returns whether what comes is discarded.
	 * @return {@code true} if nothing more is read
	 */
	boolean closing() {
		return this.closing;
	}

	/**
	 * Stops reading if much came while a request is open, and pauses it if what came was
	 * costly to decode, so that other connections are read in between.
	 */
	void limitReading() {
		if (this.parts > MAX_PARTS_PER_READ && !this.closing) {
			this.channel.config().setAutoRead(false);
			this.server.pause(this);
		}
		if (this.open != null && this.decoder != null && this.decoder.waitingBytes() > MAX_WAITING_BYTES) {
			this.channel.config().setAutoRead(false);
		}
	}

	/**
	 * Runs a task on the event loop after a time.
	 * @param task the task
	 * @param millis the time in milliseconds
	 */
	void schedule(Runnable task, long millis) {
		this.channel.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Reads on after a pause.
	 */
	void readOn() {
		if (this.open == null && this.channel.isOpen()) {
			this.channel.config().setAutoRead(true);
		}
	}

	/**
	 * Prepares for bytes that have arrived, before they are decoded.
	 * @param count the number of bytes
	 */
	void bytes(int count) {
		this.received += count;
		this.parts = 0;
		replaceOutdatedDecoder();
		if (this.open == null && !this.reading) {
			this.reading = true;
			this.since = this.clock.millis();
			this.limitsAtStart = this.limitsInForce.get();
			this.server.busy(this);
		}
	}

	private void replaceOutdatedDecoder() {
		if (this.decoder != null && this.decoder.outdated(this.limitsInForce.get())) {
			StrictRequestDecoder current = new StrictRequestDecoder(this.limitsInForce.get(), () -> this.open != null);
			this.channel.pipeline().replace(this.decoder, null, current);
			this.decoder = current;
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		take((HttpObject) message);
	}

	private void take(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				refuse(statusOf(message.decoderResult().cause()));
				return;
			}
			if (message instanceof HttpRequest request) {
				begin(request);
			}
			if (message instanceof HttpContent content && this.head != null) {
				add(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void begin(HttpRequest request) {
		this.reading = true;
		this.head = request;
		this.body = new RequestBody(HttpUtil.getContentLength(request, limits().bodyBytes()));
		if (!proper(request)) {
			refuse(HttpResponseStatus.BAD_REQUEST);
		}
		else if (HttpUtil.getContentLength(request, 0L) > limits().bodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void add(HttpContent content) {
		this.parts++;
		ByteBuf part = content.content();
		if (this.body.size() + part.readableBytes() > limits().bodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		this.body.add(part);
		if (content instanceof LastHttpContent) {
			dispatch();
		}
	}

	private void dispatch() {
		HttpRequest request = this.head;
		long held = HEAD_COPIES * (this.decoder.headBytes() + request.uri().length()) + this.body.size();
		if (!this.server.admits(held)) {
			answerAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
			return;
		}
		this.head = null;
		this.reading = false;
		this.encoder.headOnly(request.method().equals(HttpMethod.HEAD));
		OpenRequest opened = new OpenRequest(HttpUtil.isKeepAlive(request), held);
		CallerRequest read = new CallerRequest(request.method(), request.uri(), request.headers(), this.body.bytes());
		this.body = new RequestBody(0);
		this.open = opened;
		account();
		// The socket may also hold the caller's close, which is read in this turn of the
		// event loop after the request.
		this.channel.eventLoop().execute(() -> handle(read, opened));
	}

	private void handle(CallerRequest request, OpenRequest opened) {
		this.server.handling();
		if (this.channel.isOpen() && !opened.done) {
			this.server.handler().handle(request, opened);
		}
	}

	private static boolean proper(HttpRequest request) {
		HttpHeaders headers = request.headers();
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		boolean encoded = encodings.isEmpty() || (encodings.size() == 1
				&& HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).strip()));
		return encoded && request.uri().startsWith("/") && headers.getAll(HttpHeaderNames.HOST).size() == 1
				&& headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
	}

	private static HttpResponseStatus statusOf(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
		}
		return HttpResponseStatus.BAD_REQUEST;
	}

	private void refuse(HttpResponseStatus status) {
		this.server.refused(status.code());
		answerAndClose(status);
	}

	/**
	 * Answers a request that has not run, and closes the connection.
	 * @param status the status
	 */
	private void answerAndClose(HttpResponseStatus status) {
		this.closing = true;
		discard();
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
		if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			response.headers().setInt(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
		}
		this.channel.writeAndFlush(response).addListener((sent) -> endOutput());
	}

	/**
	 * Gives up what was read of a request, of which nothing more is decoded.
	 */
	private void discard() {
		this.head = null;
		this.body = new RequestBody(0);
		StrictRequestDecoder removed = this.decoder;
		this.decoder = null;
		if (removed != null && this.channel.pipeline().context(removed) != null) {
			this.channel.pipeline().remove(removed);
		}
		account();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.open != null) {
			this.open.writableChanged();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.holding.close();
		this.server.closed(this);
		if (this.open != null) {
			this.open.left();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private void ended(boolean keep) {
		this.open = null;
		this.since = this.clock.millis();
		this.limitsAtStart = this.limitsInForce.get();
		if (!keep) {
			endOutput();
			return;
		}
		resume();
		if (!busy() && !this.closing) {
			this.server.idle(this);
		}
		account();
		if (this.open == null) {
			this.channel.config().setAutoRead(true);
		}
	}

	/**
	 * Decodes what came while the request was open that has just ended.
	 */
	private void resume() {
		if (this.decoder == null || this.decoder.waitingBytes() == 0) {
			return;
		}
		this.reading = true;
		try {
			this.decoder.resume(this.channel.pipeline().context(this.decoder));
		}
		catch (Exception ex) {
			this.channel.close();
		}
		if (this.open == null && this.decoder != null && this.decoder.waitingBytes() == 0 && this.head == null) {
			this.reading = false;
		}
	}

	/**
	 * The request that is open.
	 */
	private final class OpenRequest implements Responder {

		/**
		 * Whether the connection may carry another request afterwards.
		 */
		private boolean keep;

		/**
		 * Whoever is told of the caller, {@code null} at first.
		 */
		private Listener listener;

		/**
		 * Whether the answer has ended.
		 */
		private boolean done;

		/**
		 * By when the caller wants the answer, in milliseconds.
		 */
		private long deadlineAt;

		/**
		 * What waited to be sent of a complete answer at the last check.
		 */
		private long bytesLeft = -1;

		/**
		 * When the caller was last seen to take bytes of a complete answer, in
		 * milliseconds.
		 */
		private long progressedAt;

		/**
		 * What the request holds, in bytes.
		 */
		private final long heldBytes;

		OpenRequest(boolean keep, long heldBytes) {
			this.keep = keep;
			this.heldBytes = heldBytes;
			this.deadlineAt = CallerConnection.this.clock.millis();
		}

		@Override
		public void deadline(long atMillis) {
			this.deadlineAt = atMillis;
		}

		@Override
		public void respond(int status, HttpHeaders headers, byte[] body) {
			if (this.done) {
				return;
			}
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body), headers,
					new DefaultHttpHeaders());
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
			connectionHeader(response.headers());
			finish(CallerConnection.this.channel.writeAndFlush(response));
		}

		@Override
		public void begin(int status, HttpHeaders headers) {
			DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), headers);
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			connectionHeader(response.headers());
			CallerConnection.this.channel.write(response);
		}

		@Override
		public void part(ByteBuf part) {
			CallerConnection.this.channel.writeAndFlush(new DefaultHttpContent(part));
			if (!writable()) {
				account();
			}
		}

		@Override
		public void end() {
			if (!this.done) {
				finish(CallerConnection.this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
			}
		}

		@Override
		public void abort() {
			this.done = true;
			CallerConnection.this.closing = true;
			CallerConnection.this.channel.close();
		}

		/**
		 * Closes the connection, of which the caller takes nothing.
		 */
		void cut() {
			if (this.listener != null && !this.done) {
				this.listener.callerLeft();
			}
			abort();
		}

		@Override
		public boolean writable() {
			return CallerConnection.this.channel.isWritable();
		}

		@Override
		public void listener(Listener told) {
			this.listener = told;
		}

		void writableChanged() {
			if (this.listener != null && !this.done) {
				this.listener.writableChanged();
			}
		}

		void processEnds() {
			if (this.listener != null && !this.done) {
				this.listener.processEnds();
			}
		}

		void left() {
			if (this.listener != null && !this.done) {
				this.done = true;
				this.listener.callerLeft();
			}
		}

		private void connectionHeader(HttpHeaders headers) {
			this.keep = this.keep && CallerConnection.this.server.keeping();
			if (!this.keep) {
				headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
		}

		private void finish(ChannelFuture lastBytes) {
			this.done = true;
			this.progressedAt = CallerConnection.this.clock.millis();
			if (lastBytes.isDone()) {
				sent(lastBytes);
			}
			else {
				account();
				lastBytes.addListener((ChannelFutureListener) this::sent);
			}
		}

		private void sent(ChannelFuture lastBytes) {
			if (lastBytes.isSuccess()) {
				ended(this.keep);
			}
			else {
				CallerConnection.this.closing = true;
				CallerConnection.this.channel.close();
			}
		}

		/**
		 * Gives the caller up if it takes nothing of a complete answer although the
		 * deadline of its request has passed, or takes it all too slowly.
		 * @param now the time in milliseconds
		 */
		void checkDelivery(long now) {
			if (!this.done) {
				return;
			}
			long left = bytesLeft();
			if (left != this.bytesLeft) {
				this.bytesLeft = left;
				this.progressedAt = now;
			}
			boolean stalled = now > this.deadlineAt && now - this.progressedAt > LINGER_MILLIS;
			if (stalled || now > this.deadlineAt + limits().idleMillis()) {
				abort();
			}
		}

		/**
		 * Returns how much waits to be sent.
		 * @return a number of bytes that changes with each byte that is sent
		 */
		private long bytesLeft() {
			ChannelOutboundBuffer buffer = CallerConnection.this.channel.unsafe().outboundBuffer();
			if (buffer == null) {
				return 0;
			}
			int current = (buffer.current() instanceof ByteBuf bytes) ? bytes.readableBytes() : 0;
			return buffer.totalPendingWriteBytes() + current;
		}

	}

}
