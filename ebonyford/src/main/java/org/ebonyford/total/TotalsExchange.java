package org.ebonyford.total;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.directory.Rendezvous;

/**
 * A router's part in adding up what all routers do. Each tells its own to one router of
 * its data centre, the collector, which all choose alike, and is answered at once with
 * what all others do. Collectors tell each other the totals of their data centres. So the
 * number of messages grows with the number of routers, and none is counted twice: a
 * collector answers whoever reports to it with what it has itself added up. A collector
 * that does not answer is passed over for a while.
 */
public final class TotalsExchange {

	/**
	 * The key by which the routers of a data centre are ordered.
	 */
	private static final String COLLECTOR_KEY = "totals";

	/**
	 * The number of pauses without an answer after which a collector is passed over.
	 */
	private static final int MAX_UNANSWERED_INTERVALS = 5;

	/**
	 * The time in milliseconds for which it is: a restart takes less.
	 */
	private static final long EXCLUSION_MILLIS = 5_000;

	/**
	 * The number of routers of another data centre that are told its totals as long as
	 * its collector is not known.
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
	 * The totals of the routers that chose this one, and of this one.
	 */
	private final ExpiringTotals members = new ExpiringTotals();

	/**
	 * The totals of the other data centres.
	 */
	private final ExpiringTotals otherDataCentres = new ExpiringTotals();

	/**
	 * The routers that told the totals of the other data centres last.
	 */
	private final Map<String, String> collectors = new HashMap<>();

	/**
	 * Until when collectors are passed over, in milliseconds, by their name.
	 */
	private final Map<String, Long> excludedUntil = new HashMap<>();

	/**
	 * The collector that was chosen last.
	 */
	private String collector;

	/**
	 * Whether this router may add up for others.
	 */
	private boolean eligibleAsCollector = true;

	/**
	 * When the collector answered or was chosen, in milliseconds.
	 */
	private long answeredAt;

	/**
	 * When this router's totals were last told, in milliseconds.
	 */
	private long sentAt = Long.MIN_VALUE;

	/**
	 * Creates the part of a router that has heard nothing.
	 * @param self the name of the router
	 * @param dataCentre its data centre
	 */
	public TotalsExchange(String self, String dataCentre) {
		this.self = self;
		this.dataCentre = dataCentre;
		this.collector = self;
	}

	/**
	 * Notes whether this router may add up for others. One that reads its messages late
	 * does not, and is passed over as it does not answer.
	 * @param eligible whether it may from now on
	 */
	public void eligibleAsCollector(boolean eligible) {
		this.eligibleAsCollector = eligible;
	}

	/**
	 * Sends what is due. It is called several times in a pause.
	 * @param routers the names of the other routers that were heard lately, by data
	 * centre
	 * @param own what this router does
	 * @param now the time in milliseconds
	 * @return what is to be sent, and what the others do if this router adds that up
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
	 * Takes a message.
	 * @param message the message
	 * @param now the time in milliseconds
	 * @return the answer to it, and what all other routers do if the message tells it
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

	private Totals sumExcept(String name) {
		return this.members.sumExcept(name).plus(this.otherDataCentres.sum());
	}

	private TotalsMessage message(TotalsMessage.Kind kind, Totals totals, long now) {
		return TotalsMessage.of(kind, this.self, this.dataCentre, totals, now);
	}

	private void expire(Map<String, List<String>> routers, long validMillis, long now) {
		this.members.expire(now - validMillis);
		this.otherDataCentres.expire(now - validMillis);
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
	 * Returns who adds up another data centre: whoever told its totals last. As long as
	 * none has, these are those that its routers choose first, as one may have ended.
	 * @param other the data centre
	 * @param names the names of its routers
	 * @return the names, none if it is this router's data centre
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
	 * @param receiver the name of the router that is to get it
	 * @param message the message
	 */
	public record Envelope(String receiver, TotalsMessage message) {
	}

	/**
	 * What follows from a tick or a message.
	 *
	 * @param envelopes the messages that are to be sent
	 * @param others what all other routers do, if that is known anew
	 */
	public record Result(List<Envelope> envelopes, Optional<Totals> others) {

		/**
		 * Nothing.
		 */
		static final Result EMPTY = new Result(List.of(), Optional.empty());

	}

	/**
	 * Totals by name, and their sum.
	 */
	private static final class ExpiringTotals {

		/**
		 * The totals by name.
		 */
		private final Map<String, Totals> totals = new HashMap<>();

		/**
		 * When they came, in milliseconds.
		 */
		private final Map<String, Long> receivedAt = new HashMap<>();

		/**
		 * The sum of all.
		 */
		private Totals sum = Totals.NONE;

		void put(String name, Totals received, long now) {
			this.sum = sumExcept(name).plus(received);
			this.totals.put(name, received);
			this.receivedAt.put(name, now);
		}

		void expire(long before) {
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
