package org.ebonyford.router.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;

import org.ebonyford.configuration.Pool;
import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.StoredAnswer;
import org.ebonyford.router.caller.EndToEndHeaders;
import org.ebonyford.router.caller.HeaderField;
import org.ebonyford.router.caller.PendingRequest;

/**
 * One attempt to have a request answered by an upstream, from its first byte to its one
 * ending, over as many connections as a stream needs.
 */
final class Exchange implements Transfer.Receiver {

	/**
	 * The name of a field.
	 */
	private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

	/**
	 * The lowest status code.
	 */
	private static final int MIN_STATUS = 100;

	/**
	 * The highest status code.
	 */
	private static final int MAX_STATUS = 599;

	/**
	 * The header that names the request.
	 */
	private static final String REQUEST_ID = "X-Request-Id";

	/**
	 * The header of an answer by which an upstream says that it did not run the request.
	 */
	private static final String NOT_RUN = "X-Not-Run";

	/**
	 * The media type of streams.
	 */
	private static final String EVENT_STREAM = "text/event-stream";

	/**
	 * The status code of an upstream that did not run the request.
	 */
	private static final int UNAVAILABLE = 503;

	/**
	 * The status code of a resumed stream.
	 */
	private static final int OK = 200;

	/**
	 * What the exchange works with.
	 */
	private final Exchanges exchanges;

	/**
	 * The request.
	 */
	private final PendingRequest pending;

	/**
	 * The upstream and the time until which the request may be sent.
	 */
	private final Effect.Send send;

	/**
	 * The address of the upstream.
	 */
	private final HttpHost host;

	/**
	 * Bounds what is kept for the caller.
	 */
	private final Flow flow = new Flow();

	/**
	 * Whether the ending was told.
	 */
	private final AtomicBoolean ended = new AtomicBoolean();

	/**
	 * The transfer that runs or ran last.
	 */
	private volatile Transfer transfer;

	/**
	 * Whether anything of the request was handed to a connection of an earlier transfer.
	 */
	private volatile boolean handed;

	/**
	 * Passes the answer on, {@code null} before its head came.
	 */
	private Relay relay;

	/**
	 * The attempts to resume the stream.
	 */
	private int resumes;

	/**
	 * Creates an exchange.
	 * @param exchanges what the exchange works with
	 * @param pending the request
	 * @param send the upstream and the time until which the request may be sent
	 * @param host the address of the upstream
	 */
	Exchange(Exchanges exchanges, PendingRequest pending, Effect.Send send, HttpHost host) {
		this.exchanges = exchanges;
		this.pending = pending;
		this.send = send;
		this.host = host;
	}

	/**
	 * Sends the request.
	 */
	void start() {
		PendingRequest.Content content = this.pending.content();
		BasicHttpRequest head = request(content.method(), content.target());
		for (HeaderField header : content.headers()) {
			head.addHeader(header.name(), header.value());
		}
		run(new Transfer(this.exchanges.connections(), head, content.body(),
				() -> this.exchanges.clock().millis() <= this.send.notAfter(), this));
	}

	/**
	 * Cancels the exchange. An engine is told, so that it stops to work for nobody.
	 */
	void cancel() {
		if (this.ended.compareAndSet(false, true)) {
			Transfer current = this.transfer;
			boolean reached = current != null && current.abandon() || this.handed;
			if (reached) {
				cancelAtEngine();
			}
			tell(reached ? Ending.CANCELLED : Ending.NOT_SENT, 0, Optional.empty());
		}
	}

	@Override
	public void head(HttpResponse response, EntityDetails details) {
		if (!validHead(response) || !this.send.request().value().equals(value(response, REQUEST_ID))) {
			broken();
			return;
		}
		if (this.relay != null) {
			resumed(response, details);
			return;
		}
		if (response.getCode() == UNAVAILABLE && "true".equalsIgnoreCase(value(response, NOT_RUN))) {
			end(Ending.DECLINED);
			return;
		}
		boolean events = value(response, "Content-Type").startsWith(EVENT_STREAM);
		boolean engineEvents = events && this.pending.content().kind() == Pool.Kind.ENGINE;
		boolean delimited = details == null || details.getContentLength() >= 0
				|| !value(response, "Transfer-Encoding").isEmpty();
		if (engineEvents && details == null || !engineEvents && !delimited) {
			broken();
			return;
		}
		Relay.Head head = relayed(response, details);
		int buffer = this.exchanges.connections().bufferBytes();
		this.relay = engineEvents ? new Relay.OfEvents(this.pending, head, this.flow, buffer)
				: new Relay.OfBytes(this.pending, head, this.flow, events ? 0 : buffer);
	}

	@Override
	public void data(byte[] bytes) {
		if (this.ended.get()) {
			return;
		}
		try {
			if (this.relay.data(bytes)) {
				end(Ending.COMPLETED);
			}
		}
		catch (BrokenAnswerException ex) {
			broken();
		}
	}

	@Override
	public void end() {
		if (this.ended.get()) {
			return;
		}
		try {
			this.relay.end();
			end(Ending.COMPLETED);
		}
		catch (BrokenAnswerException ex) {
			broken();
		}
	}

	@Override
	public void failed(boolean reached) {
		this.handed = this.handed || reached;
		if (!this.handed) {
			end(Ending.NOT_SENT);
			return;
		}
		broken();
	}

	private void run(Transfer next) {
		this.transfer = next;
		this.flow.begin(next);
		if (this.ended.get()) {
			next.abandon();
			return;
		}
		next.run(this.host);
	}

	private void broken() {
		this.handed = this.transfer.abandon() || this.handed;
		if (this.ended.get()) {
			return;
		}
		boolean resumable = this.relay != null && this.relay.resumePoint().isPresent();
		if (resumable && this.resumes < this.exchanges.settings().maxResumes()) {
			this.resumes++;
			this.exchanges.scheduler()
				.schedule(this::resume, this.exchanges.settings().resumeDelayMillis(), TimeUnit.MILLISECONDS);
			return;
		}
		end(Ending.BROKEN);
	}

	private void resume() {
		this.relay.resume();
		BasicHttpRequest head = request("GET",
				"/v1/streams/" + this.send.request() + "?after=" + this.relay.resumePoint().getAsLong());
		head.addHeader("Accept", EVENT_STREAM);
		run(new Transfer(this.exchanges.connections(), head, new byte[0], () -> true, this));
	}

	private void resumed(HttpResponse response, EntityDetails details) {
		boolean events = value(response, "Content-Type").startsWith(EVENT_STREAM);
		if (response.getCode() != OK || !events || details == null) {
			broken();
		}
	}

	private void end(Ending ending) {
		if (!this.ended.compareAndSet(false, true)) {
			return;
		}
		boolean completed = ending == Ending.COMPLETED;
		boolean cut = ending == Ending.BROKEN && this.pending.answer().started();
		if (cut) {
			this.pending.answer().abort();
			cancelAtEngine();
		}
		if (completed || cut) {
			this.pending.timing().end();
			this.exchanges.pending().remove(this.send.request());
		}
		tell(ending, completed ? cost() : 0, completed ? this.relay.stored() : Optional.empty());
	}

	private void tell(Ending ending, long cost, Optional<StoredAnswer> answer) {
		this.exchanges.ended(this);
		this.exchanges.sink()
			.accept(new Event.ExchangeEnded(this.exchanges.clock().millis(), this.send.request(), ending, cost,
					answer.filter((stored) -> this.pending.request().key().isPresent()),
					this.pending.answer().started()));
	}

	private long cost() {
		if (this.pending.content().kind() == Pool.Kind.SERVICE) {
			return 1;
		}
		OptionalLong tokens = this.relay.tokens();
		return Math.max(1, tokens.orElse(this.pending.request().costHint()));
	}

	private void cancelAtEngine() {
		if (this.pending.content().kind() == Pool.Kind.ENGINE) {
			BasicHttpRequest head = request("DELETE", "/v1/requests/" + this.send.request());
			new Transfer(this.exchanges.connections(), head, new byte[0], () -> true, Ignored.INSTANCE).run(this.host);
		}
	}

	private BasicHttpRequest request(String method, String target) {
		BasicHttpRequest head = new BasicHttpRequest(method, this.host, target);
		head.addHeader(REQUEST_ID, this.send.request().value());
		return head;
	}

	/**
	 * Returns whether the head is one of HTTP. The client takes any number for a status,
	 * and keeps white space inside the name of a field.
	 * @param response the head
	 * @return {@code false} if it must not be passed on
	 */
	private static boolean validHead(HttpResponse response) {
		if (response.getCode() < MIN_STATUS || response.getCode() > MAX_STATUS) {
			return false;
		}
		for (Header header : response.getHeaders()) {
			if (!FIELD_NAME.matcher(header.getName()).matches()) {
				return false;
			}
		}
		return true;
	}

	private Relay.Head relayed(HttpResponse response, EntityDetails details) {
		List<HeaderField> all = new ArrayList<>();
		for (Header header : response.getHeaders()) {
			all.add(new HeaderField(header.getName(), header.getValue()));
		}
		List<HeaderField> headers = new ArrayList<>(EndToEndHeaders.OF_ANSWER.select(all));
		headers.add(new HeaderField(REQUEST_ID, this.send.request().value()));
		headers.add(new HeaderField("X-Outcome", Outcome.RAN.label()));
		boolean declared = details != null && details.getContentLength() >= 0;
		OptionalLong length = declared ? OptionalLong.of(details.getContentLength()) : OptionalLong.empty();
		return new Relay.Head(response.getCode(), value(response, "Content-Type"), headers, length);
	}

	private static String value(HttpResponse response, String name) {
		Header header = response.getLastHeader(name);
		return (header != null && header.getValue() != null) ? header.getValue() : "";
	}

	/**
	 * Returns the request of the exchange.
	 * @return the name of the request
	 */
	RequestId request() {
		return this.send.request();
	}

	/**
	 * Takes an answer that nobody waits for.
	 */
	private enum Ignored implements Transfer.Receiver {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public void head(HttpResponse response, EntityDetails details) {
		}

		@Override
		public void data(byte[] bytes) {
		}

		@Override
		public void end() {
		}

		@Override
		public void failed(boolean handed) {
		}

	}

}
