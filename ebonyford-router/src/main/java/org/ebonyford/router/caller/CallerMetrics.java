package org.ebonyford.router.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.RequestClass;

/**
 * Measures what callers see, for each organisation and each request class. The number of
 * metrics is bounded: organisations and classes beyond the bound share one name.
 */
public final class CallerMetrics {

	/**
	 * The samples that one histogram keeps.
	 */
	private static final int SAMPLES = 256;

	/**
	 * How strongly a histogram prefers recent samples.
	 */
	private static final double DECAY = 0.015;

	/**
	 * The name that organisations and classes beyond the bound share.
	 */
	private static final String OTHERS = "others";

	/**
	 * The registry that the metrics are in.
	 */
	private final MetricRegistry registry;

	/**
	 * The organisations, and likewise the classes, that have metrics of their own.
	 */
	private final int maxNames;

	/**
	 * Reads the time in nanoseconds.
	 */
	private final LongSupplier nanos;

	/**
	 * The organisations that have metrics of their own.
	 */
	private final Set<String> organisations = ConcurrentHashMap.newKeySet();

	/**
	 * The classes that have metrics of their own.
	 */
	private final Set<String> classes = ConcurrentHashMap.newKeySet();

	/**
	 * Creates metrics.
	 * @param registry the registry that the metrics are put into
	 * @param maxNames the organisations, and likewise the classes, that get metrics of
	 * their own
	 * @param nanos reads the time in nanoseconds
	 */
	public CallerMetrics(MetricRegistry registry, int maxNames, LongSupplier nanos) {
		this.registry = registry;
		this.maxNames = maxNames;
		this.nanos = nanos;
	}

	/**
	 * Starts to measure a request.
	 * @param organisation the organisation
	 * @param requestClass the class of the request
	 * @return what takes the times of the request
	 */
	public Timing start(OrganisationId organisation, RequestClass requestClass) {
		Timers byOrganisation = timers("organisation", bounded(this.organisations, organisation.value()));
		Timers byClass = timers("class", bounded(this.classes, requestClass.value()));
		return new Timing(byOrganisation, byClass, this.nanos);
	}

	/**
	 * Counts a refusal.
	 * @param reason the name of the reason
	 */
	public void refused(String reason) {
		this.registry.counter(MetricRegistry.name("callers", "refusals", reason)).inc();
	}

	private String bounded(Set<String> names, String name) {
		if (names.contains(name)) {
			return name;
		}
		synchronized (names) {
			boolean admitted = names.size() < this.maxNames && names.add(name);
			return (admitted || names.contains(name)) ? name : OTHERS;
		}
	}

	private Timers timers(String kind, String name) {
		String prefix = MetricRegistry.name("callers", kind, name);
		return new Timers(timer(prefix, "firstByte"), timer(prefix, "total"), timer(prefix, "betweenEvents"));
	}

	private Timer timer(String prefix, String what) {
		return this.registry.timer(MetricRegistry.name(prefix, what),
				() -> new Timer(new ExponentiallyDecayingReservoir(SAMPLES, DECAY)));
	}

	/**
	 * The timers of one organisation or class.
	 *
	 * @param firstByte the times to the first byte of the answer
	 * @param total the times to the end of the answer
	 * @param betweenEvents the times between two events of a stream
	 */
	private record Timers(Timer firstByte, Timer total, Timer betweenEvents) {

	}

	/**
	 * Takes the times of one request.
	 */
	public static final class Timing {

		/**
		 * The timers of the organisation.
		 */
		private final Timers byOrganisation;

		/**
		 * The timers of the class.
		 */
		private final Timers byClass;

		/**
		 * Reads the time in nanoseconds.
		 */
		private final LongSupplier nanos;

		/**
		 * When the request arrived.
		 */
		private final long arrival;

		/**
		 * When the last event went out, or 0 before the first.
		 */
		private long lastEvent;

		private Timing(Timers byOrganisation, Timers byClass, LongSupplier nanos) {
			this.byOrganisation = byOrganisation;
			this.byClass = byClass;
			this.nanos = nanos;
			this.arrival = nanos.getAsLong();
		}

		/**
		 * Takes the time at which the first byte of the answer goes out.
		 */
		public void firstByte() {
			long elapsed = this.nanos.getAsLong() - this.arrival;
			this.byOrganisation.firstByte().update(elapsed, TimeUnit.NANOSECONDS);
			this.byClass.firstByte().update(elapsed, TimeUnit.NANOSECONDS);
		}

		/**
		 * Takes the time at which an event of a stream goes out.
		 */
		public void event() {
			long now = this.nanos.getAsLong();
			if (this.lastEvent != 0) {
				this.byOrganisation.betweenEvents().update(now - this.lastEvent, TimeUnit.NANOSECONDS);
				this.byClass.betweenEvents().update(now - this.lastEvent, TimeUnit.NANOSECONDS);
			}
			this.lastEvent = now;
		}

		/**
		 * Takes the time at which the answer ends.
		 */
		public void end() {
			long elapsed = this.nanos.getAsLong() - this.arrival;
			this.byOrganisation.total().update(elapsed, TimeUnit.NANOSECONDS);
			this.byClass.total().update(elapsed, TimeUnit.NANOSECONDS);
		}

	}

}
