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
	private static final int MISDIRECTED_STATUS = 421;

	/**
	 * The least status code that is no success.
	 */
	private static final int MIN_NON_SUCCESS_STATUS = 300;

	/**
	 * The status code of an upstream that takes no requests at present.
	 */
	private static final int UNAVAILABLE_STATUS = 503;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The names of headers.
	 */
	private final HeaderNames headerNames;

	/**
	 * Whoever sent the request.
	 */
	private final Listener listener;

	/**
	 * The request.
	 */
	private final OutgoingRequest request;

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
	private Load accountedLoad;

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
	private long lastProgressAt;

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
	private boolean bodyStarted;

	/**
	 * The body of an answer that is no stream.
	 */
	private final ResponseBuffer body;

	/**
	 * Splits a stream into events.
	 */
	private final EventSplitter splitter = new EventSplitter();

	/**
	 * Whether the answer has begun.
	 */
	private boolean firstEventRecorded;

	/**
	 * Whether the attempt has ended.
	 */
	private boolean ended;

	/**
	 * Whether the upstream closed the connection before its answer was whole.
	 */
	private boolean closedByUpstream;

	/**
	 * How many requests this router had at the upstream when the attempt ended.
	 */
	private int runningAtEnd;

	Attempt(Clock clock, HeaderNames headerNames, ResponseMemoryBudget budget, Listener listener,
			OutgoingRequest request, Upstream upstream, Choice choice) {
		this.clock = clock;
		this.headerNames = headerNames;
		this.listener = listener;
		this.request = request;
		this.upstream = upstream;
		this.choice = choice;
		this.body = new ResponseBuffer(budget);
		this.accountedLoad = new Load(1, choice.prefillTokens(), request.work().memoryTokens());
	}

	/**
	 * Takes a connection and sends the request.
	 */
	void start() {
		state().recordSent(this.accountedLoad, this.clock.millis());
		this.upstream.pool().acquire(!this.request.repeatable(), this::connected, this::connectFailed);
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
	boolean closedByUpstream() {
		return this.closedByUpstream;
	}

	/**
	 * Returns when the connection was made.
	 * @return the time in milliseconds
	 */
	long connectionOpenedAt() {
		return this.connection.openedAt();
	}

	/**
	 * Returns for how long nothing of the answer has come.
	 * @return the time in milliseconds, 0 before the request is sent
	 */
	long silentMillis() {
		return sent() ? this.clock.millis() - Math.max(this.sentAt, this.lastProgressAt) : 0;
	}

	boolean responseStarted() {
		return this.lastProgressAt > 0;
	}

	void enableReading(boolean enabled) {
		if (this.connection != null && !this.ended) {
			this.connection.reading(enabled);
		}
	}

	private void connected(UpstreamConnection acquired) {
		if (this.ended) {
			acquired.close();
			return;
		}
		this.connection = acquired;
		this.headOnly = this.request.buildHttpRequest().method().equals(HttpMethod.HEAD);
		this.sentAt = this.clock.millis();
		acquired.send(this.request.buildHttpRequest(), this);
	}

	private void connectFailed(String reason) {
		if (!this.ended) {
			end();
			state().health().recordUnreachable(this.clock.millis());
			this.listener.upstreamUnreachable(this, reason);
		}
	}

	@Override
	public boolean foreign(HttpResponse response) {
		String echoed = response.headers().get(this.headerNames.requestId(), "");
		return !echoed.isEmpty() && !echoed.equals(this.request.id());
	}

	@Override
	public void head(HttpResponse response) {
		recordProgress();
		this.head = response;
		recordNotice(response);
		boolean namesRequest = response.headers().contains(this.headerNames.requestId());
		boolean success = response.status().code() < MIN_NON_SUCCESS_STATUS;
		if (foreign(response) || (success && !namesRequest)) {
			fail("the answer belongs to another request");
		}
		else if (success && !response.headers().contains(this.headerNames.seal())) {
			fail("the answer has no seal");
		}
		else if (success && response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
			fail("the body is not the upstream's");
		}
		else if (success && this.request.stream()) {
			this.streaming = true;
		}
	}

	@Override
	public void content(ByteBuf content) {
		this.bodyStarted = this.bodyStarted || content.isReadable();
		if (!this.streaming) {
			recordProgress();
			if (!this.body.add(content)) {
				fail("the answer is too large");
			}
			return;
		}
		List<StreamEvent> events = this.splitter.add(content);
		if (!events.stream().allMatch(StreamEvent::commentOnly)) {
			recordProgress();
			recordFirstEvent();
		}
		if (!events.isEmpty()) {
			this.listener.eventsReceived(this, this.head, events);
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
	private void recordNotice(HttpResponse response) {
		int status = response.status().code();
		if (status == MISDIRECTED_STATUS) {
			return;
		}
		UpstreamHealth health = state().health();
		if (response.headers().contains(this.headerNames.leaving())) {
			health.notice(health.notice().withLeaving());
		}
		if (status == UNAVAILABLE_STATUS) {
			RetryAfter.millis(response.headers())
				.ifPresent((waitMillis) -> health.notice(health.notice().withWait(waitMillis, this.clock.millis())));
		}
	}

	@Override
	public void complete() {
		if (this.ended) {
			return;
		}
		if (bodyMissing()) {
			fail("the connection ended just after the head of a success without a length");
			return;
		}
		if (this.streaming) {
			streamComplete();
			return;
		}
		int status = this.head.status().code();
		if (this.head.headers().contains(this.headerNames.notExecuted()) || status == MISDIRECTED_STATUS) {
			refusedByUpstream(status);
			return;
		}
		UpstreamResponse response = new UpstreamResponse(status, this.head.headers(), this.body.bytes());
		if (!response.serverError()) {
			recordFirstEvent();
		}
		endWithResponse(response.serverError());
		this.listener.responseReceived(this, response);
	}

	/**
	 * Returns whether a success ended with its connection before anything of its body
	 * came. An upstream that stops there looks the same as one whose answer is empty, so
	 * it does not count as whole.
	 * @return {@code true} if neither a length nor a byte tells that there is a body
	 */
	private boolean bodyMissing() {
		int status = this.head.status().code();
		boolean emptyByDefinition = status == HttpResponseStatus.NO_CONTENT.code() || this.headOnly;
		return status < MIN_NON_SUCCESS_STATUS && !emptyByDefinition && !this.bodyStarted
				&& !HttpUtil.isContentLengthSet(this.head) && !HttpUtil.isTransferEncodingChunked(this.head);
	}

	/**
	 * Notes that the upstream did not run the request. A refusal that names no request
	 * may be an earlier one that came once more, if the connection has carried others.
	 * @param status the status
	 */
	private void refusedByUpstream(int status) {
		if (!this.connection.first() && !this.head.headers().contains(this.headerNames.requestId())) {
			fail("the refusal names no request on a connection that has carried others");
			return;
		}
		end();
		this.listener.notRun(this, "status " + status);
	}

	@Override
	public void broken(String reason, boolean closed) {
		this.closedByUpstream = closed;
		fail(reason);
	}

	private void streamComplete() {
		if (!this.splitter.atEventBoundary()) {
			fail("the stream ended within an event");
			return;
		}
		endWithResponse(false);
		this.listener.streamCompleted(this, this.head);
	}

	private void endWithResponse(boolean failed) {
		long now = this.clock.millis();
		if (!failed) {
			this.listener.pace().recordTotal(now - this.sentAt);
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
		if (this.lastProgressAt == 0) {
			state().health().recordUnreachable(now);
		}
		this.listener.attemptFailed(this, reason);
	}

	private void recordProgress() {
		this.lastProgressAt = this.clock.millis();
		state().health().recordReceived(this.lastProgressAt);
		this.listener.responseProgressed(this);
	}

	private void recordFirstEvent() {
		if (this.firstEventRecorded) {
			return;
		}
		this.firstEventRecorded = true;
		long now = this.clock.millis();
		double elapsed = now - this.sentAt;
		boolean timingsReliable = this.listener.timingsReliable();
		this.listener.pace()
			.recordFirstByte(this.choice.queuedTokens() + this.choice.prefillTokens(), elapsed, timingsReliable, now);
		if (timingsReliable) {
			state().recordDuration(elapsed / Math.max(this.choice.firstByteMillis(), 1), now);
		}
		state().prefixCache().add(this.request.work());
		Load reading = new Load(0, this.accountedLoad.prefillTokens(), 0);
		state().removeLoad(reading);
		this.accountedLoad = this.accountedLoad.minus(reading);
	}

	private void end() {
		this.ended = true;
		this.runningAtEnd = state().ownLoad().running();
		this.body.release();
		state().removeLoad(this.accountedLoad);
		this.accountedLoad = Load.NONE;
	}

	/**
	 * What is sent.
	 */
	interface OutgoingRequest {

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
		FullHttpRequest buildHttpRequest();

	}

	/**
	 * Is told how an attempt goes.
	 */
	interface Listener {

		/**
		 * Returns how fast the service works.
		 * @return the pace, to be told of answers
		 */
		ServicePace pace();

		/**
		 * Returns whether answers are read as they come.
		 * @return {@code false} while this process is late, and measures that
		 */
		boolean timingsReliable();

		/**
		 * Notes that bytes of an answer came.
		 * @param attempt the attempt
		 */
		void responseProgressed(Attempt attempt);

		/**
		 * Notes that the upstream could not be reached.
		 * @param attempt the attempt
		 * @param reason why
		 */
		void upstreamUnreachable(Attempt attempt, String reason);

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
		void attemptFailed(Attempt attempt, String reason);

		/**
		 * Takes a whole answer.
		 * @param attempt the attempt
		 * @param response the answer
		 */
		void responseReceived(Attempt attempt, UpstreamResponse response);

		/**
		 * Takes events of a stream.
		 * @param attempt the attempt
		 * @param response the head of the stream
		 * @param events the events
		 */
		void eventsReceived(Attempt attempt, HttpResponse response, List<StreamEvent> events);

		/**
		 * Notes that a stream is complete.
		 * @param attempt the attempt
		 * @param response the head of the stream
		 */
		void streamCompleted(Attempt attempt, HttpResponse response);

	}

}
