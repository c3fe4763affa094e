package org.ebonyford.share;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

import org.ebonyford.directory.ReportInterval;
import org.ebonyford.retry.SlidingWindowCounter;

/**
 * Tracks the tokens that each organisation requests and is served by all routers within a
 * window, and computes how much of its max-min fair share it has used. When demand
 * exceeds the engines' capacity, this keeps a large organisation from displacing the
 * others.
 */
public final class OrganisationShares {

	/**
	 * The used fraction of the share that is returned for each organisation while
	 * capacity meets all demands: none has priority over another.
	 */
	public static final double NO_SHORTAGE = 1;

	/**
	 * The precision of the window in milliseconds.
	 */
	private static final long BUCKET_MILLIS = 250;

	/**
	 * The time in milliseconds for which a computed level is used.
	 */
	private static final long LEVEL_VALID_MILLIS = 100;

	/**
	 * The fraction of the requested tokens that must be unserved before the served tokens
	 * are taken for the engines' whole capacity, which is less than stated while engines
	 * are down.
	 */
	private static final double SHORTAGE_FRACTION = 0.1;

	/**
	 * The ratio of served tokens to those of a refused organisation above which an
	 * organisation is overserved: below the factor of two from which the platform calls
	 * it unfair.
	 */
	private static final double OVERSERVED_FACTOR = 1.5;

	/**
	 * The ratio of admitted to served tokens while requests are refused; idle engines add
	 * up to 1 to it. Whatever the engines cannot take in time is then refused because of
	 * their load; whatever they can take raises the level, so that it follows their
	 * capacity without a measure of it.
	 */
	private static final double GROWTH_FACTOR = 1.1;

	/**
	 * The time in milliseconds of admissions that an organisation accumulates while no
	 * engine takes its requests. With much more, the next requests, most of them short,
	 * use up the admissions of long ones.
	 */
	private static final double MAX_CREDIT_MILLIS = 250;

	/**
	 * The length of the window in milliseconds.
	 */
	private final long windowMillis;

	/**
	 * The stated capacity of the engines in tokens per second, 0 while it is unknown.
	 */
	private final DoubleSupplier statedPerSecond;

	/**
	 * The idle fraction of the engines' unstrained capacity, from 0 to 1.
	 */
	private final DoubleSupplier idleFraction;

	/**
	 * The number of routers.
	 */
	private final IntSupplier routers;

	/**
	 * Draws the initial debt of each organisation.
	 */
	private final SplittableRandom random;

	/**
	 * The counts of this router by the hash of the organisation.
	 */
	private final Map<Integer, Counts> own = new HashMap<>();

	/**
	 * The latest reports of the peers by their name.
	 */
	private final Map<String, PeerUsage> peers = new HashMap<>();

	/**
	 * The total of all other routers, empty if only their reports are known.
	 */
	private Optional<PeerUsage> otherRouters = Optional.empty();

	/**
	 * The time in milliseconds until which that total is valid.
	 */
	private long otherRoutersUntil;

	/**
	 * The usage at all routers by the hash of the organisation, as of the last
	 * computation.
	 */
	private Map<Integer, Usage> totals = Map.of();

	/**
	 * The fair share of the window in tokens, as of the last computation, infinite
	 * without shortage.
	 */
	private double level = Double.POSITIVE_INFINITY;

	/**
	 * The tokens of a window up to which an organisation's requests are admitted,
	 * infinite if all are.
	 */
	private double admissionLevel = Double.POSITIVE_INFINITY;

	/**
	 * The recent fair share, in tokens, of each organisation that asked for more,
	 * infinite if all demands were met.
	 */
	private double recentLevel = Double.POSITIVE_INFINITY;

	/**
	 * The maximum demand of an organisation in tokens of a window, infinite if all
	 * demands were met. A level above it has no effect.
	 */
	private double maxDemand = Double.POSITIVE_INFINITY;

	/**
	 * Corrects the admitted fractions by feedback from the served tokens.
	 */
	private final ShareCorrection correction = new ShareCorrection();

	/**
	 * The idle fraction of the engines as of the last computation.
	 */
	private double computedIdleFraction;

	/**
	 * The minimum of the tokens served to an organisation whose demand is not met,
	 * infinite if all demands are met.
	 */
	private double minRefusedTokens = Double.POSITIVE_INFINITY;

	/**
	 * When the oldest valid report was measured, in milliseconds.
	 */
	private long oldestAt = Long.MAX_VALUE;

	/**
	 * When the levels were last computed, in milliseconds.
	 */
	private long computedAt = Long.MIN_VALUE;

	/**
	 * Creates shares without usage.
	 * @param windowMillis the length of the window in milliseconds
	 * @param statedPerSecond the stated capacity of the engines in tokens per second, 0
	 * while it is unknown
	 * @param routers the number of routers
	 * @param seed a number that differs between routers
	 */
	public OrganisationShares(long windowMillis, DoubleSupplier statedPerSecond, IntSupplier routers, long seed) {
		this(windowMillis, statedPerSecond, () -> 0, routers, seed);
	}

	/**
	 * Creates shares without usage that grow while engines are idle.
	 * @param windowMillis the length of the window in milliseconds
	 * @param statedPerSecond the stated capacity of the engines in tokens per second, 0
	 * while it is unknown
	 * @param idleFraction the idle fraction of the engines' unstrained capacity, from 0
	 * to 1
	 * @param routers the number of routers
	 * @param seed a number that differs between routers
	 */
	public OrganisationShares(long windowMillis, DoubleSupplier statedPerSecond, DoubleSupplier idleFraction,
			IntSupplier routers, long seed) {
		this.idleFraction = idleFraction;
		this.random = new SplittableRandom(seed);
		this.windowMillis = windowMillis;
		this.statedPerSecond = statedPerSecond;
		this.routers = routers;
	}

	/**
	 * Records a request.
	 * @param organisation the hash of the organisation
	 * @param tokens the tokens of the request
	 * @param now the time in milliseconds
	 */
	public void recordRequested(int organisation, long tokens, long now) {
		Counts counts = counts(organisation);
		counts.requested.add(tokens, now);
		counts.recentlyRequested.add(tokens, now);
	}

	/**
	 * Records that a request was sent to an engine.
	 * @param organisation the hash of the organisation
	 * @param tokens the tokens of the request
	 * @param now the time in milliseconds
	 */
	public void recordServed(int organisation, long tokens, long now) {
		Counts counts = counts(organisation);
		counts.served.add(tokens, now);
		counts.recentlyServed.add(tokens, now);
		counts.spend(tokens, now);
	}

	/**
	 * Records that no engine ran a request that was recorded as served, and restores its
	 * credit.
	 * @param organisation the hash of the organisation
	 * @param tokens the tokens of the request
	 * @param now the time in milliseconds
	 */
	public void recordReturned(int organisation, long tokens, long now) {
		Counts counts = counts(organisation);
		counts.served.add(-tokens, now);
		counts.recentlyServed.add(-tokens, now);
		counts.credit += counts.limited ? tokens : 0;
	}

	/**
	 * Replaces the report of a peer.
	 * @param peer the name of the peer
	 * @param usage the usage by the hash of the organisation
	 * @param now the time in milliseconds
	 */
	public void updatePeer(String peer, Map<Integer, Usage> usage, long now) {
		this.peers.put(peer, new PeerUsage(usage, now));
	}

	/**
	 * Sets the total of all other routers, which replaces their reports while it is
	 * valid.
	 * @param usage the usage by the hash of the organisation
	 * @param measuredAt when its oldest part was measured, in milliseconds
	 * @param until the time in milliseconds until which it is valid
	 */
	public void updateOtherRouters(Map<Integer, Usage> usage, long measuredAt, long until) {
		this.otherRouters = Optional.of(new PeerUsage(usage, measuredAt));
		this.otherRoutersUntil = until;
	}

	/**
	 * Returns the organisations that requested the most tokens from this router.
	 * @param max the maximum number of organisations
	 * @param now the time in milliseconds
	 * @return the usage by the hash of the organisation
	 */
	public Map<Integer, Usage> ownUsage(int max, long now) {
		List<Map.Entry<Integer, Usage>> usages = new ArrayList<>();
		this.own.forEach((organisation, counts) -> usages.add(Map.entry(organisation, counts.usage(now))));
		usages.removeIf((usage) -> usage.getValue().requestedTokens() == 0);
		this.own.keySet().removeIf((organisation) -> this.own.get(organisation).usage(now).requestedTokens() == 0);
		usages.sort(Comparator.comparingLong((Map.Entry<Integer, Usage> usage) -> usage.getValue().requestedTokens())
			.reversed());
		Map<Integer, Usage> top = new HashMap<>();
		usages.stream().limit(max).forEach((usage) -> top.put(usage.getKey(), usage.getValue()));
		return top;
	}

	/**
	 * Returns the fraction of its fair share that an organisation has used within the
	 * window. The share is of the stated capacity, or of what the engines run if that is
	 * less. While requests are refused for shares, an organisation that asks for no more
	 * than is admitted of each is within its share.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return the fraction, {@link #NO_SHORTAGE} while capacity meets all demands
	 */
	public double usedShare(int organisation, long now) {
		renew(now);
		Usage usage = usage(organisation);
		return Double.isInfinite(this.level) ? NO_SHORTAGE : usedShare(usage, usage.servedTokens(), this.level, now);
	}

	/**
	 * Returns the fraction of its fair share that an organisation has recently used,
	 * which follows engines that fail or return.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return the fraction, that of the whole window unless requests were recently
	 * refused
	 */
	public double recentlyUsedShare(int organisation, long now) {
		renew(now);
		if (Double.isInfinite(this.recentLevel)) {
			return usedShare(organisation, now);
		}
		Usage usage = usage(organisation);
		return usedShare(usage, ofWindow(usage.recentlyServedTokens()), ofWindow(this.recentLevel), now);
	}

	private double usedShare(Usage usage, double served, double share, long now) {
		boolean covered = scarce(now) && demand(usage) <= this.admissionLevel;
		return served / (covered ? Math.max(share, this.admissionLevel) : share);
	}

	private Usage usage(int organisation) {
		return this.totals.getOrDefault(organisation, Usage.NONE);
	}

	/**
	 * Returns whether an organisation was served much more than another one whose
	 * requests are refused.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return {@code false} if it is served about as much as the refused ones, or none is
	 * refused
	 */
	public boolean overserved(int organisation, long now) {
		renew(now);
		return usage(organisation).servedTokens() > OVERSERVED_FACTOR * this.minRefusedTokens;
	}

	/**
	 * Returns the ratio of this router's demand to the mean of all routers.
	 * @param now the time in milliseconds
	 * @return the ratio of the tokens requested within the window, 0 if none were
	 */
	public double demandRatio(long now) {
		renew(now);
		double all = this.totals.values().stream().mapToLong(Usage::requestedTokens).sum();
		long asked = this.own.values().stream().mapToLong((counts) -> counts.usage(now).requestedTokens()).sum();
		return (all > 0) ? asked * this.routers.getAsInt() / all : 0;
	}

	/**
	 * Returns the sums from which the level was computed.
	 * @param now the time in milliseconds
	 * @return the sums
	 */
	public Sums sums(long now) {
		renew(now);
		long asked = this.totals.values().stream().mapToLong(Usage::requestedTokens).sum();
		long served = this.totals.values().stream().mapToLong(Usage::servedTokens).sum();
		return new Sums(this.level, asked, served, this.totals.size(), this.peers.size() + 1, sumsAgeMillis(now));
	}

	/**
	 * Returns what an organisation was recently served by all routers, and its share.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return the tokens of {@link Usage#RECENT_MILLIS}, and the correction factor
	 */
	public RecentShare recentShare(int organisation, long now) {
		renew(now);
		Usage usage = usage(organisation);
		return new RecentShare(usage.recentlyRequestedTokens(), usage.recentlyServedTokens(), this.recentLevel,
				this.correction.factor(organisation, this.computedIdleFraction));
	}

	/**
	 * Returns the age of the oldest valid report.
	 * @param now the time in milliseconds
	 * @return the age in milliseconds, 0 if there is none
	 */
	public long sumsAgeMillis(long now) {
		renew(now);
		return now - Math.min(this.oldestAt, now);
	}

	/**
	 * Decides whether a request is admitted to the engines. Each organisation accrues
	 * credit for such a fraction of its requested tokens that all get the same, however
	 * often they ask: the level divided by the organisation's demand at all routers,
	 * corrected by what it was recently served by them. Sending a request spends credit,
	 * so an admission that no engine takes is not lost, and a request that finds capacity
	 * without an admission counts, too.
	 * @param organisation the hash of the organisation
	 * @param tokens the tokens of the request
	 * @param now the time in milliseconds
	 * @return the decision
	 */
	public ShareDecision admit(int organisation, long tokens, long now) {
		renew(now);
		double demand = demand(usage(organisation));
		double covered = Math.min(this.admissionLevel, this.maxDemand)
				* this.correction.factor(organisation, this.computedIdleFraction);
		if (demand <= covered) {
			counts(organisation).limited = false;
			return ShareDecision.UNLIMITED;
		}
		double fraction = covered / demand;
		return new ShareDecision(counts(organisation).accrue(fraction, tokens, now), fraction);
	}

	/**
	 * Returns whether requests are refused for shares, so that the number of admitted
	 * requests is limited.
	 * @param now the time in milliseconds
	 * @return {@code true} while demand exceeds the engines' capacity
	 */
	public boolean scarce(long now) {
		renew(now);
		return !Double.isInfinite(this.admissionLevel);
	}

	private double demand(Usage usage) {
		return ofWindow(usage.recentlyRequestedTokens());
	}

	private double ofWindow(double recent) {
		return recent * this.windowMillis / Usage.RECENT_MILLIS;
	}

	private void renew(long now) {
		if (now - this.computedAt >= LEVEL_VALID_MILLIS || this.computedAt == Long.MIN_VALUE) {
			compute(now);
		}
	}

	private void compute(long now) {
		Map<Integer, Usage> sums = new HashMap<>();
		this.own.forEach((organisation, counts) -> sums.put(organisation, counts.usage(now)));
		long valid = ReportInterval.validMillis(this.routers.getAsInt());
		this.peers.values().removeIf((peer) -> now - peer.measuredAt() > valid);
		this.otherRouters = this.otherRouters.filter((usage) -> now <= this.otherRoutersUntil);
		Collection<PeerUsage> counted = this.otherRouters.<Collection<PeerUsage>>map(List::of)
			.orElse(this.peers.values());
		counted.forEach((peer) -> peer.usage().forEach((key, usage) -> sums.merge(key, usage, Usage::plus)));
		this.oldestAt = counted.stream().mapToLong(PeerUsage::measuredAt).min().orElse(Long.MAX_VALUE);
		double asked = sums.values().stream().mapToLong(Usage::requestedTokens).sum();
		double served = sums.values().stream().mapToLong(Usage::servedTokens).sum();
		double[] demands = sums.values().stream().mapToDouble(Usage::requestedTokens).toArray();
		this.level = Math.max(MaxMinLevel.of(demands, capacity(asked, served)), 1);
		this.computedIdleFraction = this.idleFraction.getAsDouble();
		this.admissionLevel = admissionLevel(sums, capacity(asked, served), served < asked * (1 - SHORTAGE_FRACTION));
		this.minRefusedTokens = sums.values()
			.stream()
			.filter((usage) -> usage.servedTokens() < usage.requestedTokens() * (1 - SHORTAGE_FRACTION))
			.mapToLong(Usage::servedTokens)
			.mapToDouble((got) -> Math.max(got, this.level))
			.min()
			.orElse(Double.POSITIVE_INFINITY);
		this.recentLevel = recentLevel(sums);
		this.maxDemand = Double.isInfinite(this.recentLevel) ? Double.POSITIVE_INFINITY
				: sums.values().stream().mapToDouble(this::demand).max().orElse(0);
		this.correction.update(sums, this.recentLevel, now - Math.min(this.oldestAt, now), now);
		this.totals = sums;
		this.computedAt = now;
	}

	/**
	 * Returns the recent fair share of each organisation that asked for more, of all
	 * tokens that were recently served.
	 * @param sums the usage by the hash of the organisation
	 * @return the tokens, infinite if all demands were met
	 */
	private static double recentLevel(Map<Integer, Usage> sums) {
		double[] demands = sums.values().stream().mapToDouble(Usage::recentlyRequestedTokens).toArray();
		double served = sums.values().stream().mapToLong(Usage::recentlyServedTokens).sum();
		boolean refused = served < Arrays.stream(demands).sum() * (1 - SHORTAGE_FRACTION);
		return refused ? Math.max(MaxMinLevel.of(demands, served), 1) : Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the level up to which requests are admitted. It also uses the tokens served
	 * within the whole window, so that a single second with few tokens does not lower it.
	 * @param sums the usage by the hash of the organisation
	 * @param capacity the tokens that are divided
	 * @param refused whether some of the tokens requested within the window were left
	 * unserved
	 * @return the tokens of a window, infinite while nothing is refused
	 */
	private double admissionLevel(Map<Integer, Usage> sums, double capacity, boolean refused) {
		double[] demands = sums.values().stream().mapToDouble(this::demand).toArray();
		double served = ofWindow(sums.values().stream().mapToLong(Usage::recentlyServedTokens).sum());
		boolean refusedLately = served < Arrays.stream(demands).sum() * (1 - SHORTAGE_FRACTION);
		if (!refused || !refusedLately) {
			return Double.POSITIVE_INFINITY;
		}
		return Math
			.max(MaxMinLevel.of(demands, Math.max(served * (GROWTH_FACTOR + this.computedIdleFraction), capacity)), 1);
	}

	/**
	 * Returns the tokens to divide. Engines that have many prompts cached exceed the
	 * stated rate; this surplus belongs to no share, and is served on demand while there
	 * is capacity.
	 * @param asked the tokens requested within the window
	 * @param served the tokens served within the window
	 * @return the tokens that are divided, infinite without shortage
	 */
	private double capacity(double asked, double served) {
		double made = (served < asked * (1 - SHORTAGE_FRACTION)) ? served : Double.POSITIVE_INFINITY;
		double stated = this.statedPerSecond.getAsDouble() * this.windowMillis / 1_000;
		return (stated > 0) ? Math.min(stated, made) : made;
	}

	private Counts counts(int organisation) {
		return this.own.computeIfAbsent(organisation, (key) -> new Counts(this.windowMillis, this.random.nextDouble()));
	}

	/**
	 * The sums from which the level was computed.
	 *
	 * @param level the level in tokens of a window, infinite without shortage
	 * @param requestedTokens the tokens requested within the window
	 * @param servedTokens the tokens served within the window
	 * @param organisations the number of organisations with requests
	 * @param sources the number of routers whose counts are in the sums
	 * @param ageMillis the age of the oldest report in milliseconds
	 */
	public record Sums(double level, long requestedTokens, long servedTokens, int organisations, int sources,
			long ageMillis) {
	}

	/**
	 * The tokens that an organisation recently requested and was served by all routers,
	 * and its share.
	 *
	 * @param requestedTokens the tokens that it recently requested
	 * @param servedTokens the tokens that it was recently served
	 * @param shareTokens the recent fair share, in tokens, of each organisation that
	 * asked for more, infinite if all demands were met
	 * @param correction the factor that corrects the admitted fraction of its requests
	 */
	public record RecentShare(long requestedTokens, long servedTokens, double shareTokens, double correction) {
	}

	/**
	 * The usage that other routers reported.
	 *
	 * @param usage the usage by the hash of the organisation
	 * @param measuredAt when it was measured, in milliseconds
	 */
	private record PeerUsage(Map<Integer, Usage> usage, long measuredAt) {
	}

	/**
	 * The counts and the credit of an organisation at this router.
	 */
	private static final class Counts {

		/**
		 * The requested tokens.
		 */
		private final SlidingWindowCounter requested;

		/**
		 * The tokens of requests that were sent to an engine.
		 */
		private final SlidingWindowCounter served;

		/**
		 * The recently requested tokens.
		 */
		private final SlidingWindowCounter recentlyRequested;

		/**
		 * The tokens of requests that were recently sent to an engine.
		 */
		private final SlidingWindowCounter recentlyServed;

		/**
		 * The accrued tokens that are not spent yet, not a number before the first
		 * request.
		 */
		private double credit = Double.NaN;

		/**
		 * The fraction of the requested tokens that was last accrued.
		 */
		private double fraction = 1;

		/**
		 * Whether the organisation asks for more than its share, so that sending requests
		 * spends credit.
		 */
		private boolean limited;

		/**
		 * The initial debt as a fraction of the first request, drawn at random so that
		 * routers do not all admit the first request.
		 */
		private final double initialDebt;

		Counts(long windowMillis, double initialDebt) {
			this.requested = new SlidingWindowCounter(windowMillis, BUCKET_MILLIS);
			this.served = new SlidingWindowCounter(windowMillis, BUCKET_MILLIS);
			this.recentlyRequested = new SlidingWindowCounter(Usage.RECENT_MILLIS, BUCKET_MILLIS);
			this.recentlyServed = new SlidingWindowCounter(Usage.RECENT_MILLIS, BUCKET_MILLIS);
			this.initialDebt = initialDebt;
		}

		/**
		 * Accrues credit for a fraction of a request.
		 * @param newFraction the fraction
		 * @param tokens the tokens of the request
		 * @param now the time in milliseconds
		 * @return whether the request is admitted
		 */
		boolean accrue(double newFraction, long tokens, long now) {
			if (Double.isNaN(this.credit)) {
				this.credit = -this.initialDebt * tokens;
			}
			this.fraction = newFraction;
			this.limited = true;
			this.credit = Math.min(this.credit + newFraction * tokens,
					Math.max(maxCreditTokens(now), newFraction * tokens));
			return this.credit > 0;
		}

		/**
		 * Spends credit for a request that is sent. Requests that find capacity without
		 * an admission lower the credit down to a bound only, as capacity that lasts
		 * belongs to no share.
		 * @param tokens the tokens of the request
		 * @param now the time in milliseconds
		 */
		void spend(long tokens, long now) {
			if (this.limited) {
				this.credit = (this.credit > 0) ? this.credit - tokens
						: Math.max(this.credit - tokens, Math.min(this.credit, -maxCreditTokens(now)));
			}
		}

		/**
		 * Returns the maximum credit for admissions that no engine takes.
		 * @param now the time in milliseconds
		 * @return the tokens
		 */
		private double maxCreditTokens(long now) {
			return this.fraction * this.recentlyRequested.sum(now) * MAX_CREDIT_MILLIS / Usage.RECENT_MILLIS;
		}

		Usage usage(long now) {
			return new Usage(this.requested.sum(now), Math.max(this.served.sum(now), 0),
					this.recentlyRequested.sum(now), Math.max(this.recentlyServed.sum(now), 0));
		}

	}

}
