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
 * Follows what each organisation asks for and gets from all routers within a window, and
 * tells how much of its fair share it has used. On days when organisations ask for more
 * than the engines make, this is what keeps a large one from displacing the others.
 */
public final class OrganisationShares {

	/**
	 * The part of its share that each organisation counts as having used while there is
	 * enough for everyone: none goes before another.
	 */
	public static final double NO_SHORTAGE = 1;

	/**
	 * The width in milliseconds of the steps in which a window moves on.
	 */
	private static final long BUCKET_MILLIS = 250;

	/**
	 * How long in milliseconds a level is used before it is computed again.
	 */
	private static final long LEVEL_VALID_MILLIS = 100;

	/**
	 * The part of what is asked that must have been left unserved before the served
	 * tokens are taken for all that the engines make: less than stated while engines are
	 * out.
	 */
	private static final double SHORTAGE_FRACTION = 0.1;

	/**
	 * How many times as much of its share as another one that is refused an organisation
	 * may have used and still count as served alike: below the factor of two from which
	 * the platform calls it unfair.
	 */
	private static final double OVERSERVED_FACTOR = 1.5;

	/**
	 * How much more than was served is let through to busy engines while something is
	 * refused, and up to once as much more to idle ones. What they cannot take in time is
	 * refused then by their load; what they can raises the level, so that it follows them
	 * up without a measure of their room.
	 */
	private static final double GROWTH_FACTOR = 1.1;

	/**
	 * The time in milliseconds for which an organisation keeps what it earned while no
	 * engine takes its requests. Much longer, and the requests that come next, most of
	 * them short, get the turns of long ones.
	 */
	private static final double MAX_CREDIT_MILLIS = 250;

	/**
	 * The length of the window in milliseconds.
	 */
	private final long windowMillis;

	/**
	 * The tokens a second that the engines are stated to make, 0 while that is unknown.
	 */
	private final DoubleSupplier statedPerSecond;

	/**
	 * The part of what the engines run without strain that they do not run, from 0 to 1.
	 */
	private final DoubleSupplier idleFraction;

	/**
	 * The number of routers.
	 */
	private final IntSupplier routers;

	/**
	 * Draws with which of its requests a router begins to let an organisation through.
	 */
	private final SplittableRandom random;

	/**
	 * What this router saw, by the hash of the organisation.
	 */
	private final Map<Integer, Counts> ownUsage = new HashMap<>();

	/**
	 * What the peers reported, by their name.
	 */
	private final Map<String, PeerUsage> peers = new HashMap<>();

	/**
	 * What all other routers together saw, empty if only their reports are known.
	 */
	private Optional<PeerUsage> updateOtherRouters = Optional.empty();

	/**
	 * Until when that counts, in milliseconds.
	 */
	private long otherRoutersUntil;

	/**
	 * The usage of all routers by the hash of the organisation, as of the last
	 * computation.
	 */
	private Map<Integer, Usage> totals = Map.of();

	/**
	 * The level as of the last computation.
	 */
	private double level = Double.POSITIVE_INFINITY;

	/**
	 * The tokens up to which the requests of an organisation are let through, infinite if
	 * all are.
	 */
	private double admissionLevel = Double.POSITIVE_INFINITY;

	/**
	 * What each organisation that asked for more should have got lately, in tokens,
	 * infinite if all got what they asked for.
	 */
	private double recentLevel = Double.POSITIVE_INFINITY;

	/**
	 * The most that an organisation asks for, in tokens of a window, infinite if all got
	 * what they asked for. No level above it divides anything.
	 */
	private double maxDemand = Double.POSITIVE_INFINITY;

	/**
	 * Corrects turns by what came of them.
	 */
	private final ShareCorrection correction = new ShareCorrection();

	/**
	 * The part of what the engines run without strain that they did not run as of the
	 * last computation.
	 */
	private double computedIdleFraction;

	/**
	 * The least that an organisation has got which does not get what it asks for, in
	 * tokens, infinite if all get it.
	 */
	private double minRefusedTokens = Double.POSITIVE_INFINITY;

	/**
	 * When the oldest report that counts was measured, in milliseconds.
	 */
	private long oldestAt = Long.MAX_VALUE;

	/**
	 * When the level was computed, in milliseconds.
	 */
	private long computedAt = Long.MIN_VALUE;

	/**
	 * Creates shares of which nothing is used.
	 * @param windowMillis the length of the window in milliseconds
	 * @param statedPerSecond the tokens a second that the engines are stated to make, 0
	 * while that is unknown
	 * @param routers the number of routers
	 * @param seed a number that differs between routers
	 */
	public OrganisationShares(long windowMillis, DoubleSupplier statedPerSecond, IntSupplier routers, long seed) {
		this(windowMillis, statedPerSecond, () -> 0, routers, seed);
	}

	/**
	 * Creates shares of which nothing is used, and that grow while engines are idle.
	 * @param windowMillis the length of the window in milliseconds
	 * @param statedPerSecond the tokens a second that the engines are stated to make, 0
	 * while that is unknown
	 * @param idleFraction the part of what the engines run without strain that they do
	 * not run, from 0 to 1
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
	 * Notes a request.
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
	 * Notes that a request was sent to an engine.
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
	 * Notes that no engine ran a request that counts as served. Its turn is still due.
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
	 * Notes what a peer saw.
	 * @param peer the name of the peer
	 * @param usage the usage by the hash of the organisation
	 * @param now the time in milliseconds
	 */
	public void updatePeer(String peer, Map<Integer, Usage> usage, long now) {
		this.peers.put(peer, new PeerUsage(usage, now));
	}

	/**
	 * Notes what all other routers together saw, which counts instead of their reports.
	 * @param usage the usage by the hash of the organisation
	 * @param measuredAt when the oldest part of it was measured, in milliseconds
	 * @param until until when it counts, in milliseconds
	 */
	public void updateOtherRouters(Map<Integer, Usage> usage, long measuredAt, long until) {
		this.updateOtherRouters = Optional.of(new PeerUsage(usage, measuredAt));
		this.otherRoutersUntil = until;
	}

	/**
	 * Returns the organisations that asked most of this router.
	 * @param max the greatest number of organisations
	 * @param now the time in milliseconds
	 * @return the usage by the hash of the organisation
	 */
	public Map<Integer, Usage> ownUsage(int max, long now) {
		List<Map.Entry<Integer, Usage>> usages = new ArrayList<>();
		this.ownUsage.forEach((organisation, counts) -> usages.add(Map.entry(organisation, counts.usage(now))));
		usages.removeIf((usage) -> usage.getValue().requestedTokens() == 0);
		this.ownUsage.keySet()
			.removeIf((organisation) -> this.ownUsage.get(organisation).usage(now).requestedTokens() == 0);
		usages.sort(Comparator.comparingLong((Map.Entry<Integer, Usage> usage) -> usage.getValue().requestedTokens())
			.reversed());
		Map<Integer, Usage> top = new HashMap<>();
		usages.stream().limit(max).forEach((usage) -> top.put(usage.getKey(), usage.getValue()));
		return top;
	}

	/**
	 * Returns the part of its fair share that an organisation has used within the window,
	 * of what engines are stated to run, or of what they run if that is less. Where
	 * requests are refused for the sake of shares, whoever asks for no more than what is
	 * let through of each is within its share.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return the part, {@link #NO_SHORTAGE} while there is enough for everyone
	 */
	public double usedShare(int organisation, long now) {
		renew(now);
		Usage usage = usage(organisation);
		return Double.isInfinite(this.level) ? NO_SHORTAGE : usedShare(usage, usage.servedTokens(), this.level, now);
	}

	/**
	 * Returns the part of its fair share that an organisation has lately used, which
	 * follows engines that go out or come back.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return the part, that of the window unless requests were lately refused
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
	 * Returns whether an organisation has used much more of its share than another one
	 * whose requests are refused.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return {@code false} if it is served like those that are refused, or none is
	 */
	public boolean overserved(int organisation, long now) {
		renew(now);
		return usage(organisation).servedTokens() > OVERSERVED_FACTOR * this.minRefusedTokens;
	}

	/**
	 * Returns how many times the mean of all routers this router is asked for.
	 * @param now the time in milliseconds
	 * @return the tokens that it was lately asked for against the mean, 0 if nothing was
	 * asked for
	 */
	public double demandRatio(long now) {
		renew(now);
		double all = this.totals.values().stream().mapToLong(Usage::requestedTokens).sum();
		long asked = this.ownUsage.values().stream().mapToLong((counts) -> counts.usage(now).requestedTokens()).sum();
		return (all > 0) ? asked * this.routers.getAsInt() / all : 0;
	}

	/**
	 * Returns what the level was computed from.
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
	 * Returns what an organisation lately got of all routers, beside its share.
	 * @param organisation the hash of the organisation
	 * @param now the time in milliseconds
	 * @return the tokens of {@link Usage#RECENT_MILLIS}, and how its turns are corrected
	 */
	public RecentShare recentShare(int organisation, long now) {
		renew(now);
		Usage usage = usage(organisation);
		return new RecentShare(usage.recentlyRequestedTokens(), usage.recentlyServedTokens(), this.recentLevel,
				this.correction.factor(organisation, this.computedIdleFraction));
	}

	/**
	 * Returns the age of the oldest report that counts.
	 * @param now the time in milliseconds
	 * @return the age in milliseconds, 0 if there is none
	 */
	public long sumsAgeMillis(long now) {
		renew(now);
		return now - Math.min(this.oldestAt, now);
	}

	/**
	 * Decides whether a request is one of those that are let through to the engines. Each
	 * organisation earns such a part of the tokens that it asks for that all get the
	 * same, however often they ask: the level divided by what the organisation asks of
	 * all routers, corrected by what it got of them lately. What is sent is paid from
	 * that, so a turn that no engine takes is not lost, and what found room without a
	 * turn counts, too.
	 * @param organisation the hash of the organisation
	 * @param tokens the tokens of the request
	 * @param now the time in milliseconds
	 * @return the turn of the request
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
	 * Returns whether requests are refused for the sake of shares, so that turns bound
	 * how many are let through.
	 * @param now the time in milliseconds
	 * @return {@code true} while engines are asked for more than they make
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
		this.ownUsage.forEach((organisation, counts) -> sums.put(organisation, counts.usage(now)));
		long valid = ReportInterval.validMillis(this.routers.getAsInt());
		this.peers.values().removeIf((peer) -> now - peer.measuredAt() > valid);
		this.updateOtherRouters = this.updateOtherRouters.filter((usage) -> now <= this.otherRoutersUntil);
		Collection<PeerUsage> counted = this.updateOtherRouters.<Collection<PeerUsage>>map(List::of)
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
	 * Returns what each organisation that asked for more should have got lately of what
	 * all got.
	 * @param sums the usage by the hash of the organisation
	 * @return the tokens, infinite if all got what they asked for
	 */
	private static double recentLevel(Map<Integer, Usage> sums) {
		double[] demands = sums.values().stream().mapToDouble(Usage::recentlyRequestedTokens).toArray();
		double served = sums.values().stream().mapToLong(Usage::recentlyServedTokens).sum();
		boolean refused = served < Arrays.stream(demands).sum() * (1 - SHORTAGE_FRACTION);
		return refused ? Math.max(MaxMinLevel.of(demands, served), 1) : Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the level up to which requests are let through. What was served within the
	 * whole window keeps it from following a single second with few tokens.
	 * @param sums the usage by the hash of the organisation
	 * @param capacity the tokens that are divided
	 * @param refused whether part of what was asked within the window was left unserved
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
	 * Returns what is divided. Engines that keep many prompts make more than the stated
	 * rate; that surplus is nobody's share, and goes to whoever asks while there is room.
	 * @param asked what was asked within the window
	 * @param served what was served within the window
	 * @return the tokens that are divided, infinite if nothing is short
	 */
	private double capacity(double asked, double served) {
		double made = (served < asked * (1 - SHORTAGE_FRACTION)) ? served : Double.POSITIVE_INFINITY;
		double stated = this.statedPerSecond.getAsDouble() * this.windowMillis / 1_000;
		return (stated > 0) ? Math.min(stated, made) : made;
	}

	private Counts counts(int organisation) {
		return this.ownUsage.computeIfAbsent(organisation,
				(key) -> new Counts(this.windowMillis, this.random.nextDouble()));
	}

	/**
	 * What the level was computed from.
	 *
	 * @param level the level in tokens a window, infinite if there is enough for everyone
	 * @param requestedTokens the tokens that were asked for within the window
	 * @param servedTokens the tokens that were served
	 * @param organisations the number of organisations that asked
	 * @param sources the number of routers whose counts are in the sums
	 * @param ageMillis the age of the oldest report in milliseconds
	 */
	public record Sums(double level, long requestedTokens, long servedTokens, int organisations, int sources,
			long ageMillis) {
	}

	/**
	 * What an organisation got of all routers, beside its share.
	 *
	 * @param requestedTokens the tokens that it lately asked for
	 * @param servedTokens the tokens that it was lately served
	 * @param shareTokens the tokens that whoever asks for more should have got, infinite
	 * if all got what they asked for
	 * @param correction how many times as many of its requests are let through as its
	 * share covers
	 */
	public record RecentShare(long requestedTokens, long servedTokens, double shareTokens, double correction) {
	}

	/**
	 * What peers reported.
	 *
	 * @param usage the usage by the hash of the organisation
	 * @param measuredAt when it was measured, in milliseconds
	 */
	private record PeerUsage(Map<Integer, Usage> usage, long measuredAt) {
	}

	/**
	 * What this router saw of an organisation.
	 */
	private static final class Counts {

		/**
		 * The tokens that were asked for.
		 */
		private final SlidingWindowCounter requested;

		/**
		 * The tokens of what was sent to an engine.
		 */
		private final SlidingWindowCounter served;

		/**
		 * The tokens that were asked for lately.
		 */
		private final SlidingWindowCounter recentlyRequested;

		/**
		 * The tokens of what was sent to an engine lately.
		 */
		private final SlidingWindowCounter recentlyServed;

		/**
		 * The tokens that were earned and not paid for what was sent.
		 */
		private double credit = Double.NaN;

		/**
		 * The part of what is asked for that was earned last.
		 */
		private double fraction = 1;

		/**
		 * Whether the organisation asks for more than its share, so that it has to earn
		 * what it gets.
		 */
		private boolean limited;

		/**
		 * Draws with which of its requests a router begins to let the organisation
		 * through, so that routers do not all begin with the first.
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
		 * Earns a part of a request.
		 * @param newFraction the part
		 * @param tokens the tokens of the request
		 * @param now the time in milliseconds
		 * @return whether it is the request's turn
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
		 * Pays for a request that is sent. What finds room without a turn is paid up to a
		 * bound only: while there is room for long, it is nobody's share.
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
		 * Returns up to which tokens turns that no engine takes are made up for.
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
