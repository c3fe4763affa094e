package org.ebonyford.gateway.exchange;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

import org.ebonyford.gateway.exchange.EventSplitter.StreamEvent;
import org.ebonyford.gateway.http.UpstreamConnection;
import org.ebonyford.gateway.http.UpstreamListener;
import org.ebonyford.gateway.wire.HeaderNames;
import org.ebonyford.placement.Choice;
import org.ebonyford.placement.Load;
import org.ebonyford.placement.ServicePace;
import org.ebonyford.placement.UpstreamHealth;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.placement.Work;
import org.ebonyford.time.Clock;

/**
 * One sending of a request to an upstream. It checks that the answer belongs to the
 * request and is the upstream's whole answer, and keeps the account of the load.
 */
final class Attempt implements UpstreamListener {

	/**
	 * The status code of an upstream that is not the expected one.
	 */
	private static final int MISDIRECTED = 421;

	/**
	 * The least status code that is no success.
	 */
	private static final int NO_SUCCESS = 300;

	/**
	 * The status code of an upstream that takes no requests at present.
	 */
	private static final int UNAVAILABLE = 503;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The names of headers.
	 */
	private final HeaderNames names;

	/**
	 * Whoever sent the request.
	 */
	private final Owner owner;

	/**
	 * The request.
	 */
	private final Sending sending;

	/**
	 * The upstream.
	 */
	private final Upstream upstream;

	/**
	 * How the upstream was chosen.
	 */
	private final Choice choice;

	/**
	 * The load that is accounted to this attempt.
	 */
	private Load held;

	/**
	 * The connection, {@code null} before there is one.
	 */
	private UpstreamConnection connection;

	/**
	 * When the request was sent, in milliseconds.
	 */
	private long sentAt;

	/**
	 * When the answer last made progress, in milliseconds, 0 before its head. Bytes that
	 * complete no event of a stream are no progress.
	 */
	private long heardAt;

	/**
	 * The head of the answer, {@code null} before it came.
	 */
	private HttpResponse head;

	/**
	 * Whether the answer is a stream that is passed on as it comes.
	 */
	private boolean streaming;

	/**
	 * Whether the request asks for the head of the answer only.
	 */
	private boolean headOnly;

	/**
	 * Whether anything of the answer's body came.
	 */
	private boolean bodyBegun;

	/**
	 * The body of an answer that is no stream.
	 */
	private final AnswerBuffer body;

	/**
	 * Splits a stream into events.
	 */
	private final EventSplitter splitter = new EventSplitter();

	/**
	 * Whether the answer has begun.
	 */
	private boolean begun;

	/**
	 * Whether the attempt has ended.
	 */
	private boolean ended;

	/**
	 * Whether the upstream closed the connection before its answer was whole.
	 */
	private boolean closed;

	/**
	 * How many requests this router had at the upstream when the attempt ended.
	 */
	private int runningAtEnd;

	Attempt(Clock clock, HeaderNames names, AnswerMemory memory, Owner owner, Sending sending, Upstream upstream,
			Choice choice) {
		this.clock = clock;
		this.names = names;
		this.owner = owner;
		this.sending = sending;
		this.upstream = upstream;
		this.choice = choice;
		this.body = new AnswerBuffer(memory);
		this.held = new Load(1, choice.prefillTokens(), sending.work().memoryTokens());
	}

	/**
	 * Takes a connection and sends the request.
	 */
	void start() {
		state().recordSent(this.held, this.clock.millis());
		this.upstream.pool().acquire(!this.sending.repeatable(), this::connected, this::unconnected);
	}

	/**
	 * Ends the attempt without an answer. The upstream notices by its connection.
	 */
	void cancel() {
		if (this.ended) {
			return;
		}
		end();
		if (this.connection != null) {
			this.connection.close();
		}
	}

	boolean sent() {
		return this.connection != null;
	}

	UpstreamState state() {
		return this.upstream.state();
	}

	Choice choice() {
		return this.choice;
	}

	/**
	 * Returns how many requests this router had at the upstream when the attempt ended.
	 * @return the number, this one included
	 */
	int runningAtEnd() {
		return this.runningAtEnd;
	}

	/**
	 * Returns whether the upstream closed the connection before its answer was whole.
	 * @return {@code true} if it may have crashed
	 */
	boolean closed() {
		return this.closed;
	}

	/**
	 * Returns when the connection was made.
	 * @return the time in milliseconds
	 */
	long openedAt() {
		return this.connection.openedAt();
	}

	/**
	 * Returns for how long nothing of the answer has come.
	 * @return the time in milliseconds, 0 before the request is sent
	 */
	long silentMillis() {
		return sent() ? this.clock.millis() - Math.max(this.sentAt, this.heardAt) : 0;
	}

	boolean answering() {
		return this.heardAt > 0;
	}

	void reading(boolean reading) {
		if (this.connection != null && !this.ended) {
			this.connection.reading(reading);
		}
	}

	private void connected(UpstreamConnection made) {
		if (this.ended) {
			made.close();
			return;
		}
		this.connection = made;
		this.headOnly = this.sending.message().method().equals(HttpMethod.HEAD);
		this.sentAt = this.clock.millis();
		made.send(this.sending.message(), this);
	}

	private void unconnected(String reason) {
		if (!this.ended) {
			end();
			state().health().recordUnreachable(this.clock.millis());
			this.owner.notSent(this, reason);
		}
	}

	@Override
	public boolean foreign(HttpResponse response) {
		String echoed = response.headers().get(this.names.requestId(), "");
		return !echoed.isEmpty() && !echoed.equals(this.sending.id());
	}

	@Override
	public void head(HttpResponse response) {
		heard();
		this.head = response;
		notice(response);
		boolean named = response.headers().contains(this.names.requestId());
		boolean success = response.status().code() < NO_SUCCESS;
		if (foreign(response) || (success && !named)) {
			fail("the answer belongs to another request");
		}
		else if (success && !response.headers().contains(this.names.seal())) {
			fail("the answer has no seal");
		}
		else if (success && response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
			fail("the body is not the upstream's");
		}
		else if (success && this.sending.stream()) {
			this.streaming = true;
		}
	}

	@Override
	public void content(ByteBuf content) {
		this.bodyBegun = this.bodyBegun || content.isReadable();
		if (!this.streaming) {
			heard();
			if (!this.body.add(content)) {
				fail("the answer is too large");
			}
			return;
		}
		List<StreamEvent> events = this.splitter.add(content);
		if (!events.stream().allMatch(StreamEvent::comment)) {
			heard();
			firstEvent();
		}
		if (!events.isEmpty()) {
			this.owner.events(this, this.head, events);
		}
		if (this.splitter.overflows()) {
			fail("an event of the stream is too large");
		}
	}

	/**
	 * Notes what the upstream says of itself. An answer of another upstream at the same
	 * address says nothing of the expected one.
	 * @param response the head of the answer
	 */
	private void notice(HttpResponse response) {
		int status = response.status().code();
		if (status == MISDIRECTED) {
			return;
		}
		UpstreamHealth health = state().health();
		if (response.headers().contains(this.names.leaving())) {
			health.notice(health.notice().withLeaving());
		}
		if (status == UNAVAILABLE) {
			RetryAfter.millis(response.headers())
				.ifPresent((wait) -> health.notice(health.notice().withWait(wait, this.clock.millis())));
		}
	}

	@Override
	public void complete() {
		if (this.ended) {
			return;
		}
		if (endsAfterHead()) {
			fail("the connection ended just after the head of a success without a length");
			return;
		}
		if (this.streaming) {
			streamComplete();
			return;
		}
		int status = this.head.status().code();
		if (this.head.headers().contains(this.names.notExecuted()) || status == MISDIRECTED) {
			refused(status);
			return;
		}
		Answer answer = new Answer(status, this.head.headers(), this.body.bytes());
		if (!answer.failure()) {
			firstEvent();
		}
		succeeded(answer.failure());
		this.owner.answered(this, answer);
	}

	/**
	 * Returns whether a success ended with its connection before anything of its body
	 * came. An upstream that stops there looks the same as one whose answer is empty, so
	 * it does not count as whole.
	 * @return {@code true} if neither a length nor a byte tells that there is a body
	 */
	private boolean endsAfterHead() {
		int status = this.head.status().code();
		boolean bodiless = status == HttpResponseStatus.NO_CONTENT.code() || this.headOnly;
		return status < NO_SUCCESS && !bodiless && !this.bodyBegun && !HttpUtil.isContentLengthSet(this.head)
				&& !HttpUtil.isTransferEncodingChunked(this.head);
	}

	/**
	 * Notes that the upstream did not run the request. A refusal that names no request
	 * may be an earlier one that came once more, if the connection has carried others.
	 * @param status the status
	 */
	private void refused(int status) {
		if (!this.connection.first() && !this.head.headers().contains(this.names.requestId())) {
			fail("the refusal names no request on a connection that has carried others");
			return;
		}
		end();
		this.owner.notRun(this, "status " + status);
	}

	@Override
	public void broken(String reason, boolean closed) {
		this.closed = closed;
		fail(reason);
	}

	private void streamComplete() {
		if (!this.splitter.whole()) {
			fail("the stream ended within an event");
			return;
		}
		succeeded(false);
		this.owner.streamEnded(this, this.head);
	}

	private void succeeded(boolean failed) {
		long now = this.clock.millis();
		if (!failed) {
			this.owner.pace().recordTotal(now - this.sentAt);
		}
		state().health().recordEnded(failed, now);
		end();
	}

	private void fail(String reason) {
		if (this.ended) {
			return;
		}
		end();
		if (this.connection != null) {
			this.connection.close();
		}
		long now = this.clock.millis();
		state().health().recordEnded(true, now);
		if (this.heardAt == 0) {
			state().health().recordUnreachable(now);
		}
		this.owner.broken(this, reason);
	}

	private void heard() {
		this.heardAt = this.clock.millis();
		state().health().recordReceived(this.heardAt);
		this.owner.heard(this);
	}

	private void firstEvent() {
		if (this.begun) {
			return;
		}
		this.begun = true;
		long now = this.clock.millis();
		double elapsed = now - this.sentAt;
		boolean inTime = this.owner.inTime();
		this.owner.pace()
			.recordFirstByte(this.choice.queuedTokens() + this.choice.prefillTokens(), elapsed, inTime, now);
		if (inTime) {
			state().recordDuration(elapsed / Math.max(this.choice.firstByteMillis(), 1), now);
		}
		state().prefixCache().add(this.sending.work());
		Load reading = new Load(0, this.held.prefillTokens(), 0);
		state().removeLoad(reading);
		this.held = this.held.minus(reading);
	}

	private void end() {
		this.ended = true;
		this.runningAtEnd = state().ownLoad().running();
		this.body.release();
		state().removeLoad(this.held);
		this.held = Load.NONE;
	}

	/**
	 * What is sent.
	 */
	interface Sending {

		/**
		 * Returns the identifier of the request.
		 * @return the identifier, which the answer echoes
		 */
		String id();

		/**
		 * Returns the work.
		 * @return the work
		 */
		Work work();

		/**
		 * Returns whether the request may be repeated.
		 * @return {@code true} if it may run more than once
		 */
		boolean repeatable();

		/**
		 * Returns whether the answer is a stream.
		 * @return {@code true} for a stream
		 */
		boolean stream();

		/**
		 * Builds the request as it is sent now.
		 * @return the request
		 */
		FullHttpRequest message();

	}

	/**
	 * Is told how an attempt goes.
	 */
	interface Owner {

		/**
		 * Returns how fast the service works.
		 * @return the pace, to be told of answers
		 */
		ServicePace pace();

		/**
		 * Returns whether answers are read as they come.
		 * @return {@code false} while this process is late, and measures that
		 */
		boolean inTime();

		/**
		 * Notes that bytes of an answer came.
		 * @param attempt the attempt
		 */
		void heard(Attempt attempt);

		/**
		 * Notes that the upstream could not be reached.
		 * @param attempt the attempt
		 * @param reason why
		 */
		void notSent(Attempt attempt, String reason);

		/**
		 * Notes that the upstream did not run the request.
		 * @param attempt the attempt
		 * @param reason what it answered
		 */
		void notRun(Attempt attempt, String reason);

		/**
		 * Notes that there is no whole answer, though the request may have run.
		 * @param attempt the attempt
		 * @param reason why
		 */
		void broken(Attempt attempt, String reason);

		/**
		 * Takes a whole answer.
		 * @param attempt the attempt
		 * @param answer the answer
		 */
		void answered(Attempt attempt, Answer answer);

		/**
		 * Takes events of a stream.
		 * @param attempt the attempt
		 * @param response the head of the stream
		 * @param events the events
		 */
		void events(Attempt attempt, HttpResponse response, List<StreamEvent> events);

		/**
		 * Notes that a stream is complete.
		 * @param attempt the attempt
		 * @param response the head of the stream
		 */
		void streamEnded(Attempt attempt, HttpResponse response);

	}

}
