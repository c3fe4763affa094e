package org.ebonyford.gateway.exchange;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

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
import org.ebonyford.placement.ReportedLoad;
import org.ebonyford.placement.ServicePace;
import org.ebonyford.placement.UpstreamHealth;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.placement.Work;
import org.ebonyford.time.Clock;

/**
 * One attempt to send a request to an upstream. It checks that the response belongs to
 * the request and is complete and unaltered, and accounts the load of the request to the
 * upstream.
 */
final class Attempt implements UpstreamListener {

	/**
	 * The status code of an upstream other than the one that the request names.
	 */
	private static final int MISDIRECTED_STATUS = 421;

	/**
	 * The lowest status code that is no success.
	 */
	private static final int MIN_NON_SUCCESS_STATUS = 300;

	/**
	 * The status code of an upstream that accepts no requests at present.
	 */
	private static final int UNAVAILABLE_STATUS = 503;

	/**
	 * The clock.
	 */
	private final Clock clock;

	/**
	 * The names of the platform's headers.
	 */
	private final HeaderNames headerNames;

	/**
	 * Receives the events of the attempt.
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
	 * The placement decision that chose the upstream.
	 */
	private final Choice choice;

	/**
	 * The load that this attempt still adds to the upstream.
	 */
	private Load accountedLoad;

	/**
	 * The connection, {@code null} until it is acquired.
	 */
	private UpstreamConnection connection;

	/**
	 * The time at which the request was sent, in milliseconds.
	 */
	private long sentAt;

	/**
	 * The time of the last progress of the response in milliseconds, 0 before its head.
	 * Bytes of a stream are progress only if they complete an event other than a comment.
	 */
	private long lastProgressAt;

	/**
	 * The head of the response, {@code null} until it arrives.
	 */
	private HttpResponse head;

	/**
	 * Whether the response is a stream that is forwarded as it arrives.
	 */
	private boolean streaming;

	/**
	 * Whether the request asks for the head of the response only.
	 */
	private boolean headOnly;

	/**
	 * Whether any byte of the response body has arrived.
	 */
	private boolean bodyStarted;

	/**
	 * The body of a response that is no stream.
	 */
	private final ResponseBuffer body;

	/**
	 * Splits a stream into complete events.
	 */
	private final EventSplitter splitter = new EventSplitter();

	/**
	 * Whether the first event of a stream, or a complete response, has been recorded.
	 */
	private boolean firstEventRecorded;

	/**
	 * The time at which the first event of a stream, or a complete response, arrived, in
	 * milliseconds.
	 */
	private long firstEventAt;

	/**
	 * Whether the attempt has ended.
	 */
	private boolean ended;

	/**
	 * Whether the upstream closed the connection before its response was complete.
	 */
	private boolean closedByUpstream;

	/**
	 * The number of requests that this gateway had open at the upstream when the attempt
	 * ended, including this one.
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
	 * Acquires a connection and sends the request.
	 */
	void start() {
		state().recordSent(this.accountedLoad, this.clock.millis());
		this.upstream.pool().acquire(!this.request.repeatable(), this::connected, this::connectFailed);
	}

	/**
	 * Ends the attempt without a response. The closed connection tells the upstream to
	 * cancel.
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
	 * Returns how many requests this gateway had open at the upstream when the attempt
	 * ended.
	 * @return the number, including this request
	 */
	int runningAtEnd() {
		return this.runningAtEnd;
	}

	/**
	 * Returns whether the upstream closed the connection before its response was
	 * complete.
	 * @return {@code true} if it may have crashed
	 */
	boolean closedByUpstream() {
		return this.closedByUpstream;
	}

	/**
	 * Returns whether only the end of the connection marked the end of the response, as
	 * it has neither a length nor chunks.
	 * @return {@code true} if the upstream may have crashed instead
	 */
	boolean endedByClose() {
		return this.head != null && !HttpUtil.isContentLengthSet(this.head)
				&& !HttpUtil.isTransferEncodingChunked(this.head) && !this.headOnly
				&& this.head.status().code() != HttpResponseStatus.NO_CONTENT.code();
	}

	/**
	 * Returns how long ago the upstream began to write the answer.
	 * @return the time since the first event in milliseconds, empty if none has arrived
	 */
	OptionalLong writingMillis() {
		return this.firstEventRecorded ? OptionalLong.of(this.clock.millis() - this.firstEventAt)
				: OptionalLong.empty();
	}

	/**
	 * Returns the time from sending the request to the first event of a stream or to a
	 * complete response.
	 * @return the time in milliseconds, empty if none has arrived
	 */
	OptionalLong firstEventMillis() {
		return this.firstEventRecorded ? OptionalLong.of(this.firstEventAt - this.sentAt) : OptionalLong.empty();
	}

	/**
	 * Returns when the connection was opened.
	 * @return the time in milliseconds
	 */
	long connectionOpenedAt() {
		return this.connection.openedAt();
	}

	/**
	 * Returns the time since the last progress of the response.
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
		this.listener.requestSent(this);
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

	/**
	 * Checks that the response answers the request. On a reused connection, a response
	 * without an identifier may be the copy of an earlier one, whatever its status.
	 * @param response the head of the response
	 */
	@Override
	public void head(HttpResponse response) {
		recordProgress();
		this.head = response;
		recordNotice(response);
		recordReportedLoad(response);
		boolean namesRequest = response.headers().contains(this.headerNames.requestId());
		boolean success = response.status().code() < MIN_NON_SUCCESS_STATUS;
		if (foreign(response) || (!namesRequest && (success || !this.connection.first()))) {
			fail("the response does not carry the identifier of the request");
		}
		else if (success && !response.headers().contains(this.headerNames.seal())) {
			fail("the successful response has no seal header");
		}
		else if (success && response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
			fail("the successful response has a Content-Encoding, so its body is not the upstream's");
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
				fail("the response exceeds its memory limit or the memory budget of all responses");
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
			fail("an event of the stream exceeds the maximum event size");
		}
	}

	/**
	 * Records what the response says about the upstream's readiness for requests. A
	 * response of another upstream at the same address is ignored, as it says nothing
	 * about the expected one.
	 * @param response the head of the response
	 */
	private void recordNotice(HttpResponse response) {
		int status = response.status().code();
		if (status == MISDIRECTED_STATUS) {
			return;
		}
		UpstreamHealth health = state().health();
		if (response.headers().contains(this.headerNames.requestId())) {
			recordRequestLimit(health, RequestLimit.perSecond(response.headers(), this.headerNames.requestLimit()));
		}
		if (response.headers().contains(this.headerNames.leaving())) {
			health.notice(health.notice().withLeaving());
		}
		if (status == UNAVAILABLE_STATUS) {
			RetryAfter.millis(response.headers())
				.ifPresent((waitMillis) -> health.notice(health.notice().withWait(waitMillis, this.clock.millis())));
		}
	}

	/**
	 * Records the load that the upstream states. An answer that does not name the request
	 * may be the copy of an earlier one, and another upstream at the same address states
	 * its own load.
	 * @param response the head of the response
	 */
	private void recordReportedLoad(HttpResponse response) {
		boolean names = response.headers().contains(this.headerNames.requestId());
		if (names && !foreign(response) && response.status().code() != MISDIRECTED_STATUS) {
			this.listener.reportedLoad(response).ifPresent(state()::recordReported);
		}
	}

	private void recordRequestLimit(UpstreamHealth health, OptionalDouble perSecond) {
		if (!perSecond.equals(health.notice().requestsPerSecond())) {
			health.notice(health.notice().withRequestsPerSecond(perSecond));
			this.listener.requestLimitChanged(this, perSecond);
		}
	}

	@Override
	public void complete() {
		if (this.ended) {
			return;
		}
		if (bodyMissing()) {
			this.closedByUpstream = true;
			fail("the connection ended after the head of a successful response without a length");
			return;
		}
		if (this.streaming) {
			streamComplete();
			return;
		}
		int status = this.head.status().code();
		if (this.head.headers().contains(this.headerNames.notExecuted()) || status == MISDIRECTED_STATUS) {
			end();
			this.listener.notRun(this, "status " + status);
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
	 * Returns whether the connection of a successful response without a declared length
	 * ended before any byte of the body. A crash at this point looks the same as an empty
	 * response, so the response does not count as complete.
	 * @return {@code true} if a body may be missing
	 */
	private boolean bodyMissing() {
		return this.head.status().code() < MIN_NON_SUCCESS_STATUS && !this.bodyStarted && endedByClose();
	}

	@Override
	public void broken(String reason, boolean closed) {
		this.closedByUpstream = closed;
		fail(reason);
	}

	private void streamComplete() {
		if (!this.splitter.atEventBoundary()) {
			this.closedByUpstream = endedByClose();
			fail("the stream ended in the middle of an event");
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
		this.firstEventAt = now;
		double elapsed = now - this.sentAt;
		boolean timingsReliable = this.listener.timingsReliable();
		double pace = state().presentPace(now);
		this.listener.pace()
			.recordFirstByte(this.choice.queuedTokens() + this.choice.prefillTokens(), elapsed / pace, timingsReliable,
					now);
		if (timingsReliable) {
			state().recordDuration(elapsed / pace / Math.max(this.choice.firstByteMillis(), 1), now);
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
	 * The request that an attempt sends.
	 */
	interface OutgoingRequest {

		/**
		 * Returns the identifier of the request.
		 * @return the identifier, which the response echoes
		 */
		String id();

		/**
		 * Returns the work that the request requires of an engine.
		 * @return the work
		 */
		Work work();

		/**
		 * Returns whether the request may be retried after it may have run.
		 * @return {@code true} if it may run more than once
		 */
		boolean repeatable();

		/**
		 * Returns whether the response is a stream.
		 * @return {@code true} for a stream
		 */
		boolean stream();

		/**
		 * Builds the HTTP request, with the deadline that remains now.
		 * @return the request
		 */
		FullHttpRequest buildHttpRequest();

	}

	/**
	 * Receives the events of an attempt.
	 */
	interface Listener {

		/**
		 * Returns the speed of the service's upstreams.
		 * @return the pace, which the attempt updates with its response
		 */
		ServicePace pace();

		/**
		 * Returns whether responses are read as soon as they arrive.
		 * @return {@code false} while measurements include delays of this process
		 */
		boolean timingsReliable();

		/**
		 * Reads the load that an upstream states.
		 * @param response the head of its response
		 * @return the load, or empty if it states none
		 */
		Optional<ReportedLoad> reportedLoad(HttpResponse response);

		/**
		 * Called when a connection is open and the request is sent.
		 * @param attempt the attempt
		 */
		default void requestSent(Attempt attempt) {
		}

		/**
		 * Called when the response makes progress.
		 * @param attempt the attempt
		 */
		void responseProgressed(Attempt attempt);

		/**
		 * Called when the upstream names another limit on requests than before, or no
		 * longer names one.
		 * @param attempt the attempt
		 * @param perSecond the requests per second that it takes from all gateways
		 * together, empty if there is no limit
		 */
		void requestLimitChanged(Attempt attempt, OptionalDouble perSecond);

		/**
		 * Called when no connection to the upstream could be acquired.
		 * @param attempt the attempt
		 * @param reason the reason, for the log
		 */
		void upstreamUnreachable(Attempt attempt, String reason);

		/**
		 * Called when the upstream did not run the request.
		 * @param attempt the attempt
		 * @param reason the status of its response
		 */
		void notRun(Attempt attempt, String reason);

		/**
		 * Called when there is no complete response, although the request may have run.
		 * @param attempt the attempt
		 * @param reason the reason, for the log
		 */
		void attemptFailed(Attempt attempt, String reason);

		/**
		 * Called when a response that is no stream is complete.
		 * @param attempt the attempt
		 * @param response the response
		 */
		void responseReceived(Attempt attempt, UpstreamResponse response);

		/**
		 * Called when events of a stream arrive.
		 * @param attempt the attempt
		 * @param response the head of the stream
		 * @param events the events
		 */
		void eventsReceived(Attempt attempt, HttpResponse response, List<StreamEvent> events);

		/**
		 * Called when a stream is complete.
		 * @param attempt the attempt
		 * @param response the head of the stream
		 */
		void streamCompleted(Attempt attempt, HttpResponse response);

	}

}
