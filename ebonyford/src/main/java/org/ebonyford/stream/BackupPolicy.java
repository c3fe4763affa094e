package org.ebonyford.stream;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.ebonyford.catalog.RouteKind;
import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.placement.Work;

/**
 * Decides for the streams of a service whether an engine copies the memory of a run to
 * another engine, and to which. A copy costs transfers and memory; it is worth them if
 * the expected loss without it is greater. The load: streams of up to 340 routers to up
 * to 790 engines, prompts of up to 54,600 tokens, engines that crash singly or in series,
 * and engines whose memory running requests fill. All amounts are in tokens of an
 * engine's work.
 */
public final class BackupPolicy {

	/**
	 * The cost of a copied token. A transfer of a prompt's parts takes 5 ms where their
	 * prefill takes 40 to 60 ms.
	 */
	private static final double COPY_COST = 0.1;

	/**
	 * The cost of a token that is copied to another data centre. Such copies are charged
	 * by bytes, too; twice the cost is a judgement, not a measured value.
	 */
	private static final double REMOTE_COPY_COST = 0.2;

	/**
	 * The loss to a caller whose stream is cut and cannot be repeated, in addition to the
	 * wasted work. The work of some 20 streams of 7,800 tokens is a judgement, not a
	 * measured value.
	 */
	private static final double CUT_STREAM_LOSS = 150_000;

	/**
	 * The assumed time in milliseconds of running streams for each lost one while none is
	 * lost, so that the first crash after a quiet period is covered. With this time a
	 * stream of 7,800 tokens that runs for 2 s is worth a copy.
	 */
	private static final double QUIET_MILLIS_PER_LOSS = 300_000;

	/**
	 * The time in milliseconds in which the weight of earlier runs falls to a part of
	 * 1/e: short enough to follow a series of crashes, and many times the time of a run.
	 */
	private static final double RUN_MEMORY_MILLIS = 60_000;

	/**
	 * The fraction of an engine's memory up to which copies use it. Placement fills up to
	 * 0.92 with running requests and does not know of copies.
	 */
	private static final double MAX_MEMORY_FRACTION = 0.7;

	/**
	 * The number of engines that are compared. Routers that compared all engines by the
	 * same reports would choose the same one.
	 */
	private static final int SAMPLE_SIZE = 3;

	/**
	 * The time in milliseconds for which an engine keeps the copy of a run that did not
	 * end successfully.
	 */
	private static final long COPY_LIFETIME_MILLIS = 5_000;

	/**
	 * The tokens that this router's copies may occupy, by the hash of the engine.
	 */
	private final Map<Long, Long> reserved = new HashMap<>();

	/**
	 * The copies of runs that did not end successfully, the oldest first.
	 */
	private final Deque<Expiring> expiring = new ArrayDeque<>();

	/**
	 * The sum of the reserved tokens.
	 */
	private long reservedTokens;

	/**
	 * The time of recent runs in milliseconds.
	 */
	private double runMillis;

	/**
	 * The number of recent runs that were lost with their engine.
	 */
	private double losses;

	/**
	 * When the older runs last lost weight, in milliseconds.
	 */
	private long decayedAt = Long.MIN_VALUE;

	/**
	 * Chooses the engine for the copy of a run, and reserves the memory there until
	 * {@link #release}.
	 * @param run the run
	 * @param usable the engines of the service that take requests
	 * @param routers the number of routers that may be alive
	 * @param now the current time in milliseconds
	 * @return the backup, empty if a copy is not worth its cost or no engine has room
	 */
	public Optional<Backup> choose(Run run, Collection<UpstreamState> usable, int routers, long now) {
		releaseExpired(now);
		if (run.kind() != RouteKind.STREAM || !worth(run, COPY_COST, now)) {
			return Optional.empty();
		}
		double reservedElsewhere = reservedTokens() * (routers - 1.0) / Math.max(usable.size(), 1);
		Optional<UpstreamState> found = roomiest(run, usable, true, reservedElsewhere, now);
		if (found.isEmpty() && worth(run, REMOTE_COPY_COST, now)) {
			found = roomiest(run, usable, false, reservedElsewhere, now);
		}
		return found.map((engine) -> reserve(engine, tokens(run.work())));
	}

	private boolean worth(Run run, double copyCost, long now) {
		long tokens = tokens(run.work());
		return lossProbability(run.expectedMillis(), now) * (CUT_STREAM_LOSS + tokens) > copyCost * tokens;
	}

	/**
	 * Returns the probability that a run is lost with its engine.
	 * @param millis the expected time of the run in milliseconds
	 * @param now the current time in milliseconds
	 * @return the probability, from 0 to 1
	 */
	double lossProbability(double millis, long now) {
		decay(now);
		double lossesPerMilli = Math.max((1 + this.losses) / (QUIET_MILLIS_PER_LOSS + this.runMillis),
				1 / QUIET_MILLIS_PER_LOSS);
		return 1 - Math.exp(-lossesPerMilli * millis);
	}

	private Optional<UpstreamState> roomiest(Run run, Collection<UpstreamState> engines, boolean near,
			double reservedElsewhere, long now) {
		UpstreamState best = null;
		double least = MAX_MEMORY_FRACTION;
		for (UpstreamState state : sample(run, engines, near)) {
			double used = usedFraction(state, tokens(run.work()), reservedElsewhere, now);
			if (used <= least) {
				best = state;
				least = used;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns some engines that can continue the run, chosen by rendezvous hashing in a
	 * single pass, as there may be 790.
	 * @param run the run
	 * @param engines the engines of the service that take requests
	 * @param near whether engines in the data centre of the run are wanted, or others
	 * @return the engines
	 */
	private static List<UpstreamState> sample(Run run, Collection<UpstreamState> engines, boolean near) {
		UpstreamEntry chosen = run.engine().entry();
		PriorityQueue<Weighted> sample = new PriorityQueue<>(Comparator.comparingLong(Weighted::weight));
		for (UpstreamState state : engines) {
			UpstreamEntry entry = state.entry();
			if (state.hash() != run.engine().hash() && entry.version().equals(chosen.version())
					&& entry.dataCentre().equals(chosen.dataCentre()) == near) {
				sample.add(new Weighted(state, Rendezvous.weight(run.requestHash(), state.hash())));
				if (sample.size() > SAMPLE_SIZE) {
					sample.remove();
				}
			}
		}
		return sample.stream().map(Weighted::engine).toList();
	}

	private double usedFraction(UpstreamState state, long tokens, double reservedElsewhere, long now) {
		double used = state.totalLoad(now).memoryTokens() + this.reserved.getOrDefault(state.hash(), 0L)
				+ reservedElsewhere + tokens;
		return (state.memoryTokens() > 0) ? used / state.memoryTokens() : Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the tokens of a run's copy. An engine may hold parts of the prompt already,
	 * which is not known.
	 * @param work the work of the run
	 * @return the number of tokens
	 */
	private static long tokens(Work work) {
		return Math.max((long) work.promptTokens() + work.maxOutputTokens(), 1);
	}

	private Backup reserve(UpstreamState engine, long tokens) {
		this.reserved.merge(engine.hash(), tokens, Long::sum);
		this.reservedTokens += tokens;
		return new Backup(engine, tokens);
	}

	/**
	 * Releases the memory of a copy once its engine drops it.
	 * @param backup the backup
	 * @param success whether the run ended successfully or was not begun, so that the
	 * copy is dropped at once
	 * @param now the current time in milliseconds
	 */
	public void release(Backup backup, boolean success, long now) {
		if (success) {
			release(backup);
		}
		else {
			this.expiring.add(new Expiring(backup, now + COPY_LIFETIME_MILLIS));
		}
	}

	private void releaseExpired(long now) {
		while (!this.expiring.isEmpty() && this.expiring.getFirst().until() <= now) {
			release(this.expiring.removeFirst().backup());
		}
	}

	private void release(Backup backup) {
		this.reserved.computeIfPresent(backup.engine().hash(),
				(hash, tokens) -> (tokens > backup.tokens()) ? tokens - backup.tokens() : null);
		this.reservedTokens -= backup.tokens();
	}

	/**
	 * Returns the tokens that this router's copies may occupy at all engines.
	 * @return the number of tokens
	 */
	long reservedTokens() {
		return this.reservedTokens;
	}

	/**
	 * Records the end of a stream's run, from which the probability of losses follows.
	 * @param millis the time of the run in milliseconds
	 * @param lost whether its engine closed the connection before the end
	 * @param now the current time in milliseconds
	 */
	public void recordRun(long millis, boolean lost, long now) {
		decay(now);
		this.runMillis += millis;
		this.losses += lost ? 1 : 0;
	}

	private void decay(long now) {
		if (this.decayedAt != Long.MIN_VALUE) {
			double weight = Math.exp(-Math.max(now - this.decayedAt, 0) / RUN_MEMORY_MILLIS);
			this.runMillis *= weight;
			this.losses *= weight;
		}
		this.decayedAt = now;
	}

	/**
	 * A run that a backup may be chosen for.
	 *
	 * @param kind the kind of the route
	 * @param work the work of the run
	 * @param requestHash the hash of the request, which spreads copies over engines
	 * @param engine the engine of the run
	 * @param expectedMillis the expected time of the run in milliseconds
	 */
	public record Run(RouteKind kind, Work work, long requestHash, UpstreamState engine, double expectedMillis) {
	}

	/**
	 * The engine to which a run is copied.
	 *
	 * @param engine the engine
	 * @param tokens the tokens that are reserved there
	 */
	public record Backup(UpstreamState engine, long tokens) {
	}

	/**
	 * A copy that its engine still keeps.
	 *
	 * @param backup the backup
	 * @param until when the engine drops it, in milliseconds
	 */
	private record Expiring(Backup backup, long until) {
	}

	/**
	 * An engine with its weight for a request.
	 *
	 * @param engine the engine
	 * @param weight the weight, by which engines are sampled
	 */
	private record Weighted(UpstreamState engine, long weight) {
	}

}
