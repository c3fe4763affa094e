package org.ebonyford.total;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.directory.Rendezvous;

/**
 * Aggregates the totals of all routers through one collector per data centre. All routers
 * of a data centre choose the same collector, and each sends it its own totals; the
 * collector answers at once with the totals of all other routers. Collectors send each
 * other the totals of their data centres. So the number of messages grows linearly with
 * the number of routers, and no router is counted twice: a collector answers each member
 * with its own sums, from which it subtracts the member's totals. A collector that does
 * not answer is excluded for a while.
 */
public final class TotalsExchange {

	/**
	 * The rendezvous key by which the routers of a data centre are ranked.
	 */
	private static final String COLLECTOR_KEY = "totals";

	/**
	 * The number of intervals without an answer after which a collector is excluded.
	 */
	private static final int MAX_UNANSWERED_INTERVALS = 5;

	/**
	 * The duration of an exclusion in milliseconds: longer than a restart.
	 */
	private static final long EXCLUSION_MILLIS = 5_000;

	/**
	 * The number of routers of another data centre that receive this data centre's totals
	 * while its collector is unknown.
	 */
	private static final int CANDIDATES = 3;

	/**
	 * The name of this router.
	 */
	private final String self;

	/**
	 * The data centre of this router.
	 */
	private final String dataCentre;

	/**
	 * The totals of this router and of the routers that chose it as collector.
	 */
	private final ExpiringTotals members = new ExpiringTotals();

	/**
	 * The totals of the other data centres.
	 */
	private final ExpiringTotals otherDataCentres = new ExpiringTotals();

	/**
	 * The latest sender of each other data centre's totals.
	 */
	private final Map<String, String> collectors = new HashMap<>();

	/**
	 * The end of each collector's exclusion in milliseconds, by its name.
	 */
	private final Map<String, Long> excludedUntil = new HashMap<>();

	/**
	 * The current collector.
	 */
	private String collector;

	/**
	 * Whether this router may be a collector.
	 */
	private boolean eligibleAsCollector = true;

	/**
	 * When the collector last answered or was chosen, in milliseconds.
	 */
	private long answeredAt;

	/**
	 * When this router's totals were last sent, in milliseconds.
	 */
	private long sentAt = Long.MIN_VALUE;

	/**
	 * Creates the exchange of a router that has received no message.
	 * @param self the name of the router
	 * @param dataCentre its data centre
	 */
	public TotalsExchange(String self, String dataCentre) {
		this.self = self;
		this.dataCentre = dataCentre;
		this.collector = self;
	}

	/**
	 * Sets whether this router may be a collector. A router that reads its messages late
	 * may not; it stops answering, so the others exclude it.
	 * @param eligible whether it may be a collector from now on
	 */
	public void eligibleAsCollector(boolean eligible) {
		this.eligibleAsCollector = eligible;
	}

	/**
	 * Sends the messages that are due. It is called several times per interval.
	 * @param routers the names of the other live routers by data centre
	 * @param own the totals of this router
	 * @param now the time in milliseconds
	 * @return the messages to be sent, and the totals of the others if this router is the
	 * collector
	 */
	public Result tick(Map<String, List<String>> routers, Totals own, long now) {
		List<String> all = new ArrayList<>(routers.getOrDefault(this.dataCentre, List.of()));
		all.add(this.self);
		long intervalMillis = TotalsInterval.millis(all.size());
		this.members.put(this.self, own, now);
		expire(routers, TotalsInterval.validMillis(all.size()), now);
		chooseCollector(all, intervalMillis, now);
		List<Envelope> envelopes = new ArrayList<>();
		boolean collects = this.collector.equals(this.self);
		if (!collects && (this.sentAt == Long.MIN_VALUE || now - this.sentAt >= intervalMillis)) {
			this.sentAt = now;
			envelopes.add(new Envelope(this.collector, message(TotalsMessage.Kind.MEMBER, own, now)));
		}
		if (collects || this.members.size() > 1) {
			Totals dataCentreTotals = this.members.sum();
			routers.forEach((other, names) -> collectorsOf(other, names).forEach((to) -> envelopes
				.add(new Envelope(to, message(TotalsMessage.Kind.DATA_CENTRE, dataCentreTotals, now)))));
		}
		return new Result(envelopes, collects ? Optional.of(sumExcept(this.self)) : Optional.empty());
	}

	/**
	 * Handles a message.
	 * @param message the message
	 * @param now the time in milliseconds
	 * @return the answer, and the totals of all other routers if the message holds them
	 */
	public Result receive(TotalsMessage message, long now) {
		switch (message.kind()) {
			case MEMBER -> {
				if (!this.eligibleAsCollector) {
					return Result.EMPTY;
				}
				this.members.put(message.sender(), message.totals(now), now);
				TotalsMessage answer = message(TotalsMessage.Kind.OTHERS, sumExcept(message.sender()), now);
				return new Result(List.of(new Envelope(message.sender(), answer)), Optional.empty());
			}
			case DATA_CENTRE -> {
				this.otherDataCentres.put(message.dataCentre(), message.totals(now), now);
				this.collectors.put(message.dataCentre(), message.sender());
			}
			case OTHERS -> {
				if (message.sender().equals(this.collector)) {
					this.answeredAt = now;
					return new Result(List.of(), Optional.of(message.totals(now)));
				}
			}
		}
		return Result.EMPTY;
	}

	/**
	 * Returns the sum of all totals except one.
	 * @param name the name of the excluded one
	 * @return the sum, as old as its oldest part
	 */
	private Totals sumExcept(String name) {
		return this.members.sumExcept(name).plus(this.otherDataCentres.sum());
	}

	private TotalsMessage message(TotalsMessage.Kind kind, Totals totals, long now) {
		return TotalsMessage.of(kind, this.self, this.dataCentre, totals, now);
	}

	private void expire(Map<String, List<String>> routers, long validMillis, long now) {
		this.members.expire(now - validMillis, now);
		this.otherDataCentres.expire(now - validMillis, now);
		this.collectors.keySet().removeIf((other) -> !this.otherDataCentres.contains(other));
		this.excludedUntil.values().removeIf((until) -> until <= now);
	}

	private void chooseCollector(Collection<String> names, long intervalMillis, long now) {
		if (!this.collector.equals(this.self) && now - this.answeredAt > MAX_UNANSWERED_INTERVALS * intervalMillis) {
			this.excludedUntil.put(this.collector, now + EXCLUSION_MILLIS);
		}
		List<String> candidates = names.stream()
			.filter((name) -> !this.excludedUntil.containsKey(name)
					&& (this.eligibleAsCollector || !name.equals(this.self)))
			.toList();
		String first = candidates.isEmpty() ? this.self : Rendezvous.order(COLLECTOR_KEY, candidates).get(0);
		if (!first.equals(this.collector)) {
			this.collector = first;
			this.answeredAt = now;
		}
	}

	/**
	 * Returns the routers that receive this data centre's totals for another data centre:
	 * the one that last sent its totals. As long as none has, the first candidates by
	 * rank are returned, as one of them may be down.
	 * @param other the other data centre
	 * @param names the names of its routers
	 * @return the names, none for this router's own data centre
	 */
	private List<String> collectorsOf(String other, List<String> names) {
		if (other.equals(this.dataCentre)) {
			return List.of();
		}
		String known = this.collectors.get(other);
		return (known != null) ? List.of(known)
				: Rendezvous.order(COLLECTOR_KEY, names).stream().limit(CANDIDATES).toList();
	}

	/**
	 * A message and its receiver.
	 *
	 * @param receiver the name of the receiving router
	 * @param message the message
	 */
	public record Envelope(String receiver, TotalsMessage message) {
	}

	/**
	 * The result of a tick or of a message.
	 *
	 * @param envelopes the messages to be sent
	 * @param others the totals of all other routers, if they were updated
	 */
	public record Result(List<Envelope> envelopes, Optional<Totals> others) {

		/**
		 * No messages and no new totals.
		 */
		static final Result EMPTY = new Result(List.of(), Optional.empty());

	}

	/**
	 * Totals by name, which expire, and their sum.
	 */
	private static final class ExpiringTotals {

		/**
		 * The totals by name.
		 */
		private final Map<String, Totals> totals = new HashMap<>();

		/**
		 * When the totals were received, in milliseconds, by name.
		 */
		private final Map<String, Long> receivedAt = new HashMap<>();

		/**
		 * The sum of all totals.
		 */
		private Totals sum = Totals.NONE;

		void put(String name, Totals received, long now) {
			this.sum = sumExcept(name).plus(received);
			this.totals.put(name, received);
			this.receivedAt.put(name, now);
		}

		void expire(long before, long now) {
			this.sum = this.sum.withoutInvalidPaces(now);
			List<String> expired = this.receivedAt.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() < before)
				.map(Map.Entry::getKey)
				.toList();
			expired.forEach((name) -> {
				this.sum = sumExcept(name);
				this.totals.remove(name);
				this.receivedAt.remove(name);
			});
		}

		boolean contains(String name) {
			return this.totals.containsKey(name);
		}

		int size() {
			return this.totals.size();
		}

		Totals sum() {
			return this.sum;
		}

		/**
		 * Returns the sum of all but one.
		 * @param name the name of the one
		 * @return the sum, as old as the oldest part of it
		 */
		Totals sumExcept(String name) {
			Totals without = this.totals.containsKey(name) ? this.sum.minus(this.totals.get(name)) : this.sum;
			return without.measuredAt(this.totals.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(name))
				.mapToLong((entry) -> entry.getValue().measuredAt())
				.min()
				.orElse(Long.MAX_VALUE));
		}

	}

}
