package org.ebonyford.suspect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.ebonyford.identity.UpstreamId;

/**
 * Simulates model engines that read prompts, begin to answer them, and crash as soon as
 * they begin to answer one with a fatal part. Routers tell each other of crashes at once
 * and of the rest in each tick. A third of the prompts begin with the same part, the
 * parts in the middle are shared by some callers, and a fifth of the prompts is of a part
 * that only few others share.
 */
final class PartModel {

	private static final long DURATION_MILLIS = 30_000;

	private static final long STEP_MILLIS = 20;

	private static final long FATAL_FROM_MILLIS = 4_000;

	private static final long AWAY_MILLIS = 3_000;

	private static final long READING_MILLIS = 200;

	private static final long WRITING_MILLIS = 3_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final int FATAL_CRASHES = 5;

	private static final long RARE_BASE = 500;

	private static final long FATAL_BASE = 1_000_000;

	private final Random random;

	private final List<PartTracker> routers = new ArrayList<>();

	private final int upstreams;

	private final int fatalParts;

	private final int otherCrashesPerSecond;

	private final Map<Integer, List<Run>> running = new HashMap<>();

	private final Map<Integer, Long> awayUntil = new HashMap<>();

	private final Map<Long, List<Long>> fatalCrashes = new HashMap<>();

	private final Map<Long, List<Long>> fatalSends = new HashMap<>();

	private long refusedOfCommonParts;

	private long refusedOfRareParts;

	private long soundOfRareParts;

	private int incarnations;

	private long prompts;

	PartModel(long seed, int routers, int upstreams, int fatalParts, int otherCrashesPerSecond) {
		this.random = new Random(seed);
		for (int router = 0; router < routers; router++) {
			this.routers.add(new PartTracker(SuspectSettings.DEFAULT));
		}
		this.upstreams = upstreams;
		this.fatalParts = fatalParts;
		this.otherCrashesPerSecond = otherCrashesPerSecond;
	}

	void run() {
		for (long now = 0; now < DURATION_MILLIS; now += STEP_MILLIS) {
			arrive(now);
			advance(now);
			if (this.otherCrashesPerSecond > 0 && now % (1_000 / this.otherCrashesPerSecond) == 0) {
				crash(now, this.random.nextInt(this.upstreams));
			}
			exchange(now);
		}
	}

	/**
	 * Returns the requests with a fatal part that reached upstreams later than the time
	 * for contact after the fifth crash by it, of the part with the most.
	 */
	long sentLate() {
		return this.fatalCrashes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() >= FATAL_CRASHES)
			.mapToLong((entry) -> this.fatalSends.get(entry.getKey())
				.stream()
				.filter((sentAt) -> sentAt > entry.getValue().get(FATAL_CRASHES - 1) + CONTACT_MILLIS)
				.count())
			.max()
			.orElse(0);
	}

	/**
	 * Returns the sound requests that were refused although all their parts are in many
	 * requests.
	 */
	long refusedOfCommonParts() {
		return this.refusedOfCommonParts;
	}

	/**
	 * Returns the sound requests with a part that few requests share that were refused.
	 */
	long refusedOfRareParts() {
		return this.refusedOfRareParts;
	}

	/**
	 * Returns the sound requests with a part that few requests share.
	 */
	long soundOfRareParts() {
		return this.soundOfRareParts;
	}

	private void arrive(long now) {
		for (int request = 0; request < this.upstreams / 3; request++) {
			long middle = (this.random.nextInt(5) == 0) ? RARE_BASE + this.random.nextInt(100)
					: 10 + this.random.nextInt(30);
			long first = this.random.nextInt(3);
			boolean fatal = now >= FATAL_FROM_MILLIS && this.random.nextInt(20) == 0;
			send(now, fatal ? List.of(first, middle, FATAL_BASE + this.random.nextInt(this.fatalParts))
					: List.of(first, middle));
		}
	}

	private void send(long now, List<Long> parts) {
		int router = this.random.nextInt(this.routers.size());
		int upstream = this.random.nextInt(this.upstreams);
		PartTracker tracker = this.routers.get(router);
		boolean sound = fatalPart(parts).isEmpty();
		boolean rare = parts.get(1) >= RARE_BASE;
		this.soundOfRareParts += (sound && rare) ? 1 : 0;
		if (tracker.suspectedForMillis(now, parts) > 0) {
			this.refusedOfRareParts += (sound && rare) ? 1 : 0;
			this.refusedOfCommonParts += (sound && !rare) ? 1 : 0;
			return;
		}
		if (this.awayUntil.getOrDefault(upstream, 0L) > now || tracker.awaitsEvaluation(parts)) {
			return;
		}
		fatalPart(parts)
			.ifPresent((part) -> this.fatalSends.computeIfAbsent(part, (key) -> new ArrayList<>()).add(now));
		this.running.computeIfAbsent(upstream, (key) -> new ArrayList<>())
			.add(new Run(router, this.prompts++, parts,
					now + READING_MILLIS / 2 + this.random.nextInt((int) READING_MILLIS)));
	}

	private static Optional<Long> fatalPart(List<Long> parts) {
		return parts.stream().filter((part) -> part >= FATAL_BASE).findFirst();
	}

	private void advance(long now) {
		for (int upstream = 0; upstream < this.upstreams; upstream++) {
			List<Run> runs = this.running.computeIfAbsent(upstream, (key) -> new ArrayList<>());
			Optional<Long> fatal = runs.stream()
				.filter((run) -> run.writesAt() <= now)
				.flatMap((run) -> fatalPart(run.parts()).stream())
				.findFirst();
			if (fatal.isPresent()) {
				this.fatalCrashes.computeIfAbsent(fatal.get(), (key) -> new ArrayList<>()).add(now);
				crash(now, upstream);
				continue;
			}
			runs.stream()
				.filter((run) -> now - run.writesAt() >= PartTracker.SURVIVAL_MILLIS
						&& now - run.writesAt() < PartTracker.SURVIVAL_MILLIS + STEP_MILLIS)
				.forEach((run) -> this.routers.get(run.router()).recordSurvival(now, run.parts()));
			runs.removeIf((run) -> now - run.writesAt() > WRITING_MILLIS);
		}
	}

	private void crash(long now, int upstream) {
		List<Run> runs = this.running.put(upstream, new ArrayList<>());
		this.awayUntil.put(upstream, now + AWAY_MILLIS);
		if (runs == null) {
			return;
		}
		Crash.Key key = new Crash.Key(new UpstreamId("u" + upstream), this.incarnations++);
		for (Run run : runs) {
			if (now - run.writesAt() < PartTracker.SURVIVAL_MILLIS) {
				UnansweredPrompt prompt = new UnansweredPrompt(run.prompt(), run.parts());
				for (int router = 0; router < this.routers.size(); router++) {
					this.routers.get(router).add(now, key, List.of(prompt), router == run.router());
				}
			}
		}
	}

	private void exchange(long now) {
		for (int index = 0; index < this.routers.size(); index++) {
			if ((now + index * STEP_MILLIS) % 100 == 0) {
				PartTracker router = this.routers.get(index);
				router.tick(now);
				Map<Long, Long> survivals = router.takeSurvivalsToAnnounce(now);
				Map<Long, Long> suspected = router.suspected(now);
				this.routers.stream().filter((other) -> other != router).forEach((other) -> {
					survivals.forEach((part, age) -> other.receiveSurvival(now, part, age));
					suspected.forEach((part, remaining) -> other.receiveSuspicion(now, part, remaining));
				});
			}
		}
	}

	private record Run(int router, long prompt, List<Long> parts, long writesAt) {

	}

}
