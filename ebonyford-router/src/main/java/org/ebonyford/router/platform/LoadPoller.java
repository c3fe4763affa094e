package org.ebonyford.router.platform;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.load.LoadReport;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.EventSink;
import org.ebonyford.time.Clock;

/**
 * Asks upstreams for their load again and again, with one question at a time for each.
 */
public final class LoadPoller implements EffectHandler {

	/**
	 * Reads the reports.
	 */
	private final JsonReader reader;

	/**
	 * The milliseconds between two questions to an upstream.
	 */
	private final long intervalMillis;

	/**
	 * The milliseconds within which an upstream must answer.
	 */
	private final long timeoutMillis;

	/**
	 * Takes the reports as events.
	 */
	private final EventSink sink;

	/**
	 * The clock that stamps the events.
	 */
	private final Clock clock;

	/**
	 * The upstreams that have not answered yet.
	 */
	private final Set<UpstreamId> asked = ConcurrentHashMap.newKeySet();

	/**
	 * The host and port of each upstream to ask.
	 */
	private volatile Map<UpstreamId, String> watched = Map.of();

	/**
	 * Creates a poller that does not ask yet.
	 * @param reader reads the reports
	 * @param intervalMillis the milliseconds between two questions to an upstream
	 * @param timeoutMillis the milliseconds within which an upstream must answer
	 * @param sink takes the reports as events
	 * @param clock the clock that stamps the events
	 */
	public LoadPoller(JsonReader reader, long intervalMillis, long timeoutMillis, EventSink sink, Clock clock) {
		this.reader = reader;
		this.intervalMillis = intervalMillis;
		this.timeoutMillis = timeoutMillis;
		this.sink = sink;
		this.clock = clock;
	}

	/**
	 * Starts to ask.
	 * @param scheduler the scheduler that starts each round of questions
	 */
	public void start(ScheduledExecutorService scheduler) {
		scheduler.scheduleWithFixedDelay(() -> this.watched.forEach(this::ask), 0, this.intervalMillis,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void handle(Effect effect) {
		if (effect instanceof Effect.WatchUpstreams upstreams) {
			this.watched = upstreams.addresses();
		}
	}

	private void ask(UpstreamId upstream, String address) {
		if (!this.asked.add(upstream)) {
			return;
		}
		long sent = this.clock.millis();
		this.reader.read("http://" + address + "/load", Document.class, this.timeoutMillis)
			.whenComplete((document, ex) -> answered(upstream, sent, Optional.ofNullable(document)));
	}

	private void answered(UpstreamId upstream, long sent, Optional<Document> document) {
		this.asked.remove(upstream);
		long now = this.clock.millis();
		Optional<LoadReport> report = document.map((present) -> present.report(now - sent));
		this.sink.accept(new Event.LoadReported(now, upstream, report));
	}

	/**
	 * A report as an upstream writes it.
	 *
	 * @param incarnation a number that changes when the upstream starts anew
	 * @param running the requests that ran at the sample time
	 * @param completed the requests that completed since the start
	 * @param ageMillis the milliseconds since the sample was taken
	 * @param leaving whether the upstream is about to leave
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Document(long incarnation, int running, long completed, long ageMillis, boolean leaving) {

		private LoadReport report(long tripMillis) {
			return new LoadReport(this.incarnation, this.running, this.completed, this.ageMillis + tripMillis,
					this.leaving);
		}

	}

}
