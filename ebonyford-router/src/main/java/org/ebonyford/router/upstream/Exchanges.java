package org.ebonyford.router.upstream;

import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;

import org.apache.hc.core5.http.HttpHost;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.StoredAnswer;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.EventSink;
import org.ebonyford.router.caller.CallerMetrics;
import org.ebonyford.router.caller.HeaderField;
import org.ebonyford.router.caller.PendingRequest;
import org.ebonyford.router.caller.PendingRequests;
import org.ebonyford.router.caller.Problem;
import org.ebonyford.time.Clock;

/**
 * Carries out the effects that are about callers' requests: {@link Effect.Send},
 * {@link Effect.Refuse}, {@link Effect.Replay} and {@link Effect.Cancel}. Other effects
 * are ignored. Every {@code Send} ends in exactly one {@link Event.ExchangeEnded}.
 */
public final class Exchanges implements EffectHandler {

	/**
	 * The connections to upstreams.
	 */
	private final UpstreamConnections connections;

	/**
	 * The bounds on what is kept of an answer and on attempts to resume it.
	 */
	private final UpstreamSettings settings;

	/**
	 * The requests that are held.
	 */
	private final PendingRequests pending;

	/**
	 * Measures the answers.
	 */
	private final CallerMetrics metrics;

	/**
	 * The clock that the time to send is checked by.
	 */
	private final Clock clock;

	/**
	 * Takes the events.
	 */
	private final EventSink sink;

	/**
	 * Waits before a stream is resumed.
	 */
	private final ScheduledExecutorService scheduler;

	/**
	 * The exchanges that run.
	 */
	private final Map<RequestId, Exchange> running = new ConcurrentHashMap<>();

	/**
	 * Creates a handler.
	 * @param connections the connections to upstreams
	 * @param settings the bounds on answers
	 * @param pending the requests that are held
	 * @param metrics measures the answers
	 * @param clock the clock that the time to send is checked by
	 * @param sink takes the events
	 * @param scheduler waits before a stream is resumed
	 */
	public Exchanges(UpstreamConnections connections, UpstreamSettings settings, PendingRequests pending,
			CallerMetrics metrics, Clock clock, EventSink sink, ScheduledExecutorService scheduler) {
		this.connections = connections;
		this.settings = settings;
		this.pending = pending;
		this.metrics = metrics;
		this.clock = clock;
		this.sink = sink;
		this.scheduler = scheduler;
	}

	@Override
	public void handle(Effect effect) {
		if (effect instanceof Effect.Send send) {
			send(send);
		}
		else if (effect instanceof Effect.Refuse refuse) {
			refuse(refuse);
		}
		else if (effect instanceof Effect.Replay replay) {
			replay(replay);
		}
		else if (effect instanceof Effect.Cancel cancel) {
			cancel(cancel.request());
		}
	}

	/**
	 * Returns how many exchanges run.
	 * @return the number
	 */
	public int size() {
		return this.running.size();
	}

	/**
	 * Forgets an exchange that has ended.
	 * @param exchange the exchange
	 */
	void ended(Exchange exchange) {
		this.running.remove(exchange.request(), exchange);
	}

	UpstreamConnections connections() {
		return this.connections;
	}

	UpstreamSettings settings() {
		return this.settings;
	}

	PendingRequests pending() {
		return this.pending;
	}

	Clock clock() {
		return this.clock;
	}

	EventSink sink() {
		return this.sink;
	}

	ScheduledExecutorService scheduler() {
		return this.scheduler;
	}

	private void send(Effect.Send send) {
		Optional<PendingRequest> held = this.pending.find(send.request());
		Optional<HttpHost> host = host(send.address());
		if (held.isEmpty() || host.isEmpty()) {
			this.sink.accept(new Event.ExchangeEnded(this.clock.millis(), send.request(), Ending.NOT_SENT, 0,
					Optional.empty(), false));
			return;
		}
		Exchange exchange = new Exchange(this, held.get(), send, host.get());
		if (this.running.putIfAbsent(send.request(), exchange) == null) {
			held.get().onDeparture(exchange::cancel);
			exchange.start();
			if (this.pending.find(send.request()).isEmpty()) {
				exchange.cancel();
			}
		}
	}

	private void refuse(Effect.Refuse refuse) {
		cancel(refuse.request());
		this.pending.remove(refuse.request()).ifPresent((held) -> {
			Problem problem = Problem.of(refuse.request(), refuse.refusal());
			this.metrics.refused(problem.reason());
			held.timing().end();
			answer(held, problem.status(), problem.headers(), problem.json());
		});
	}

	private void replay(Effect.Replay replay) {
		cancel(replay.request());
		StoredAnswer stored = replay.answer();
		this.pending.remove(replay.request()).ifPresent((held) -> {
			List<HeaderField> headers = List.of(new HeaderField("Content-Type", stored.contentType()),
					new HeaderField("X-Request-Id", replay.request().value()),
					new HeaderField("X-Outcome", Outcome.RAN.label()));
			held.timing().end();
			answer(held, stored.status(), headers, stored.body().getBytes(StandardCharsets.UTF_8));
		});
	}

	private static void answer(PendingRequest held, int status, List<HeaderField> headers, byte[] body) {
		if (held.answer().started()) {
			held.answer().abort();
			return;
		}
		held.answer().whole(status, headers, body);
	}

	private void cancel(RequestId request) {
		Optional.ofNullable(this.running.get(request)).ifPresent(Exchange::cancel);
	}

	private static Optional<HttpHost> host(String address) {
		try {
			return Optional.of(HttpHost.create("http://" + address));
		}
		catch (URISyntaxException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
