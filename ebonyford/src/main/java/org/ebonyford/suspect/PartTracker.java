package org.ebonyford.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds parts of prompts that crash every upstream that begins to answer a prompt with
 * them, so that the router refuses all requests with such a part.
 *
 * <p>
 * A crash is evidence against the parts of the prompts that were unanswered at the
 * upstream. A part survives when an upstream goes on after it began to answer a prompt
 * with the part; crashes before that no longer count against it. A part is suspected once
 * enough crashes in a row count against it, with different prompts. The part with the
 * most crashes is suspected first and explains its crashes, so that the parts beside it
 * are not suspected for them. A part that has survived at any time needs more crashes.
 */
public final class PartTracker {

	/**
	 * How long an upstream has to go on, in milliseconds from the first event of its
	 * answer, for the parts of the prompt to survive. It covers bytes that the upstream
	 * sent before it crashed and that are read late.
	 */
	public static final long SURVIVAL_MILLIS = 500;

	/**
	 * The minimum number of crashes that count against a part that has never survived.
	 */
	private static final int MIN_CRASHES = 3;

	/**
	 * The minimum number of different prompts with such a part.
	 */
	private static final int MIN_PROMPTS = 2;

	/**
	 * The number of crashes, with as many prompts, that is enough for a part that has
	 * survived before them. Operators accept five.
	 */
	private static final int SUFFICIENT_CRASHES = 5;

	/**
	 * The number of prompts of this router that must have survived since such a part last
	 * did. While most upstreams are down, hardly any part survives.
	 */
	private static final int MIN_SURVIVALS_OF_OTHERS = 50;

	/**
	 * How long a part is suspected, in milliseconds, while fewer than
	 * {@link #SUFFICIENT_CRASHES} count against it. A sound part then survives, and a
	 * fatal one costs one more crash.
	 */
	private static final long PROVISIONAL_MILLIS = 30_000;

	/**
	 * The number of crashes with a part from which on the other routers need to know that
	 * it has survived.
	 */
	private static final int MIN_CRASHES_TO_ANNOUNCE = 2;

	/**
	 * The maximum number of parts that are told at a time, so that they fit a datagram.
	 */
	private static final int MAX_ANNOUNCED = 200;

	/**
	 * The maximum number of parts whose survival is remembered.
	 */
	private static final int MAX_SURVIVORS = 8_192;

	/**
	 * The settings.
	 */
	private final SuspectSettings settings;

	/**
	 * The remembered crashes, the oldest first.
	 */
	private final LinkedHashMap<Crash.Key, CrashedPrompts> crashes = new LinkedHashMap<>();

	/**
	 * When each part last survived at any router, as far as this router knows; the least
	 * recently used first.
	 */
	private final LinkedHashMap<Long, Survival> survivals = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Survival> eldest) {
			return size() > MAX_SURVIVORS;
		}

	};

	/**
	 * The number of prompts of this router that survived.
	 */
	private long survivedPrompts;

	/**
	 * The survivals that all routers know.
	 */
	private final Map<Long, Long> announcedAtMillis = new HashMap<>();

	/**
	 * The clock reading in milliseconds until which requests with each suspected part are
	 * refused.
	 */
	private final Map<Long, Long> suspectedUntil = new HashMap<>();

	/**
	 * Parts that another router suspects although they have survived.
	 */
	private final Set<Long> contested = new HashSet<>();

	/**
	 * The number of crashes with each part since its survival was last announced.
	 */
	private final Map<Long, Integer> crashesSinceAnnounced = new HashMap<>();

	/**
	 * The crashes that are not yet evaluated with all their prompts.
	 */
	private final Set<CrashedPrompts> toEvaluate = new HashSet<>();

	/**
	 * The parts that may be suspected when {@link #toEvaluate} is evaluated, empty if
	 * they have to be determined again.
	 */
	private Optional<Set<Long>> awaitingEvaluation = Optional.empty();

	PartTracker(SuspectSettings settings) {
		this.settings = settings;
	}

	/**
	 * Records that prompts were unanswered at an upstream that crashed.
	 * @param now the router's clock reading in milliseconds
	 * @param key the crash
	 * @param prompts the prompts
	 * @param own whether this router sent them
	 */
	void add(long now, Crash.Key key, Collection<UnansweredPrompt> prompts, boolean own) {
		if (prompts.isEmpty()) {
			return;
		}
		CrashedPrompts crash = this.crashes.computeIfAbsent(key, (missing) -> new CrashedPrompts(now));
		Set<Long> before = Set.copyOf(crash.parts());
		prompts.forEach((prompt) -> crash.add(prompt, own));
		crash.parts()
			.stream()
			.filter((part) -> !before.contains(part))
			.forEach((part) -> this.crashesSinceAnnounced.merge(part, 1, Integer::sum));
		this.toEvaluate.add(crash);
		this.awaitingEvaluation = Optional.empty();
		while (this.crashes.size() > this.settings.maxRememberedCrashes()) {
			this.crashes.remove(this.crashes.keySet().iterator().next());
		}
	}

	/**
	 * Forgets a crash, since the upstream is still running.
	 * @param key the crash
	 */
	void retract(Crash.Key key) {
		CrashedPrompts crash = this.crashes.remove(key);
		if (crash != null) {
			this.toEvaluate.remove(crash);
			crash.parts()
				.forEach((part) -> this.crashesSinceAnnounced.computeIfPresent(part, (id, count) -> count - 1));
			crash.parts().forEach(this::recheck);
		}
	}

	/**
	 * Returns the prompts of a crash that this router sent, with the parts that have
	 * never survived. A router that starts later does not know which parts have survived.
	 * @param key the crash
	 * @return the prompts
	 */
	List<UnansweredPrompt> ownPrompts(Crash.Key key) {
		CrashedPrompts crash = this.crashes.get(key);
		if (crash == null) {
			return List.of();
		}
		return crash.ownPrompts()
			.stream()
			.map(this::withoutSurvivors)
			.filter((prompt) -> !prompt.parts().isEmpty())
			.toList();
	}

	private UnansweredPrompt withoutSurvivors(UnansweredPrompt prompt) {
		return new UnansweredPrompt(prompt.id(),
				prompt.parts().stream().filter((part) -> !this.survivals.containsKey(part)).toList());
	}

	/**
	 * Records that an upstream went on after it began to answer a prompt.
	 * @param now the router's clock reading in milliseconds
	 * @param parts the shared parts of the prompt
	 */
	public void recordSurvival(long now, Collection<Long> parts) {
		this.survivedPrompts++;
		parts.forEach((part) -> survived(part, now));
	}

	/**
	 * Records that a part has survived at another router, which has told all routers.
	 * @param now the router's clock reading in milliseconds
	 * @param part the part
	 * @param ageMillis how long ago it survived, in milliseconds
	 */
	public void receiveSurvival(long now, long part, long ageMillis) {
		long atMillis = now - Math.max(ageMillis, 0);
		announced(part, atMillis);
		survived(part, atMillis);
	}

	private void announced(long part, long atMillis) {
		this.announcedAtMillis.merge(part, atMillis, Math::max);
		this.crashesSinceAnnounced.remove(part);
		this.contested.remove(part);
	}

	private void survived(long part, long atMillis) {
		this.survivals.merge(part, new Survival(atMillis, this.survivedPrompts), Survival::later);
		recheck(part);
	}

	/**
	 * Ends the suspicion of a part if there are too few crashes for it now.
	 * @param part the part
	 */
	private void recheck(long part) {
		if (this.suspectedUntil.containsKey(part) && !enough(part, supporting(part))) {
			this.suspectedUntil.remove(part);
		}
	}

	/**
	 * Adopts the suspicion of another router, unless the part has survived.
	 * @param now the router's clock reading in milliseconds
	 * @param part the part
	 * @param remainingMillis how much longer it is suspected, in milliseconds
	 */
	public void receiveSuspicion(long now, long part, long remainingMillis) {
		if (this.survivals.containsKey(part) && !this.suspectedUntil.containsKey(part)) {
			this.contested.add(part);
			return;
		}
		long until = now + Math.min(remainingMillis, this.settings.suspicionMillis());
		this.suspectedUntil.merge(part, until, Math::max);
	}

	/**
	 * Returns survivals that the other routers need to know, and counts them as told.
	 * @param now the router's clock reading in milliseconds
	 * @return for each part, how long ago it survived, in milliseconds
	 */
	public Map<Long, Long> takeSurvivalsToAnnounce(long now) {
		Set<Long> parts = new HashSet<>(this.contested);
		this.crashesSinceAnnounced.forEach((part, count) -> {
			if (count >= MIN_CRASHES_TO_ANNOUNCE && survivedSinceAnnounced(part)) {
				parts.add(part);
			}
		});
		Map<Long, Long> ages = new LinkedHashMap<>();
		parts.stream().filter(this.survivals::containsKey).limit(MAX_ANNOUNCED).forEach((part) -> {
			long atMillis = this.survivals.get(part).atMillis();
			ages.put(part, now - atMillis);
			announced(part, atMillis);
		});
		return ages;
	}

	private boolean survivedSinceAnnounced(long part) {
		Survival survival = this.survivals.get(part);
		return survival != null && survival.atMillis() > this.announcedAtMillis.getOrDefault(part, Long.MIN_VALUE);
	}

	/**
	 * Returns how much longer requests with one of these parts are refused.
	 * @param now the router's clock reading in milliseconds
	 * @param parts the shared parts of a prompt
	 * @return the time in milliseconds, 0 if no part is suspected
	 */
	public long suspectedForMillis(long now, Collection<Long> parts) {
		if (this.suspectedUntil.isEmpty()) {
			return 0;
		}
		return parts.stream().mapToLong((part) -> this.suspectedUntil.getOrDefault(part, now) - now).max().orElse(0);
	}

	/**
	 * Returns the suspected parts.
	 * @param now the router's clock reading in milliseconds
	 * @return for each part, how much longer it is suspected, in milliseconds
	 */
	public Map<Long, Long> suspected(long now) {
		Map<Long, Long> remaining = new LinkedHashMap<>();
		this.suspectedUntil.forEach((part, until) -> remaining.put(part, until - now));
		return remaining;
	}

	/**
	 * Returns whether a prompt must not be answered before the newest crashes are
	 * evaluated.
	 * @param parts the shared parts of a prompt
	 * @return {@code true} if a part of it may be suspected then
	 */
	public boolean awaitsEvaluation(Collection<Long> parts) {
		if (this.toEvaluate.isEmpty()) {
			return false;
		}
		if (this.awaitingEvaluation.isEmpty()) {
			Set<Long> candidates = new HashSet<>();
			this.toEvaluate.forEach((crash) -> candidates.addAll(crash.parts()));
			candidates.removeIf((part) -> !enough(part, unexplained(part)));
			this.awaitingEvaluation = Optional.of(candidates);
		}
		return parts.stream().anyMatch(this.awaitingEvaluation.get()::contains);
	}

	/**
	 * Returns whether no crash is remembered and no part is suspected.
	 * @return {@code true} if there is nothing to check
	 */
	public boolean isEmpty() {
		return this.crashes.isEmpty() && this.suspectedUntil.isEmpty();
	}

	/**
	 * Evaluates the parts if that is due, and drops expired suspicions and crashes.
	 * @param now the router's clock reading in milliseconds
	 * @return the parts that are suspected from now on
	 */
	public List<Long> tick(long now) {
		this.suspectedUntil.values().removeIf((until) -> until <= now);
		Iterator<CrashedPrompts> oldest = this.crashes.values().iterator();
		while (oldest.hasNext() && oldest.next().knownAtMillis + this.settings.suspicionMillis() <= now) {
			oldest.remove();
		}
		if (this.crashes.isEmpty()) {
			this.announcedAtMillis.clear();
			this.crashesSinceAnnounced.clear();
		}
		long settledMillis = now - this.settings.settleMillis();
		boolean changed = this.toEvaluate.removeIf((crash) -> crash.knownAtMillis <= settledMillis);
		return changed ? evaluate(now) : List.of();
	}

	private List<Long> evaluate(long now) {
		this.awaitingEvaluation = Optional.empty();
		Set<Long> candidates = new HashSet<>();
		this.crashes.values().forEach((crash) -> candidates.addAll(crash.parts()));
		candidates.removeAll(this.suspectedUntil.keySet());
		List<Long> found = new ArrayList<>();
		Optional<Long> worst = worst(candidates);
		while (worst.isPresent()) {
			found.add(worst.get());
			this.suspectedUntil.put(worst.get(), now + suspicionMillis(worst.get()));
			candidates.remove(worst.get());
			worst = worst(candidates);
		}
		return found;
	}

	private long suspicionMillis(long part) {
		return (supporting(part).size() >= SUFFICIENT_CRASHES) ? this.settings.suspicionMillis()
				: Math.min(PROVISIONAL_MILLIS, this.settings.suspicionMillis());
	}

	/**
	 * Returns the part that explains the most crashes, of those that have never survived
	 * if there are any: while most upstreams are down, no part survives. Among equals it
	 * is the one closest to the end of its prompt, which the fewest requests share.
	 * @param candidates the parts that are not suspected
	 * @return the part, empty if too few crashes count against each of them
	 */
	private Optional<Long> worst(Set<Long> candidates) {
		return candidates.stream()
			.map((part) -> new Candidate(part,
					unexplained(part).stream().filter((crash) -> !this.toEvaluate.contains(crash)).toList(),
					this.survivals.containsKey(part)))
			.filter((candidate) -> enough(candidate.part(), candidate.crashes()))
			.max(Comparator.comparing((Candidate candidate) -> !candidate.hasSurvived())
				.thenComparing((candidate) -> candidate.crashes().size())
				.thenComparing((candidate) -> candidate.crashes().get(0).position(candidate.part()))
				.thenComparing(Candidate::part))
			.map(Candidate::part);
	}

	private boolean enough(long part, List<CrashedPrompts> counted) {
		Survival survival = this.survivals.get(part);
		boolean hasSurvived = survival != null;
		if (counted.size() < (hasSurvived ? SUFFICIENT_CRASHES : MIN_CRASHES)
				|| hasSurvived && this.survivedPrompts - survival.survivedPrompts() < MIN_SURVIVALS_OF_OTHERS) {
			return false;
		}
		Set<Long> prompts = new HashSet<>();
		counted.forEach((crash) -> prompts.addAll(crash.promptsWith(part)));
		return prompts.size() >= (hasSurvived ? SUFFICIENT_CRASHES : MIN_PROMPTS);
	}

	/**
	 * Returns the crashes that count against a part, including those that are not yet
	 * evaluated.
	 * @param part the part
	 * @return the crashes, the oldest first
	 */
	private List<CrashedPrompts> supporting(long part) {
		return this.crashes.values().stream().filter((crash) -> countsAgainst(crash, part)).toList();
	}

	/**
	 * Returns the crashes that count against a part and that no suspected part explains.
	 * @param part the part
	 * @return the crashes, the oldest first
	 */
	private List<CrashedPrompts> unexplained(long part) {
		return supporting(part).stream().filter((crash) -> !explained(crash)).toList();
	}

	private boolean explained(CrashedPrompts crash) {
		return crash.parts()
			.stream()
			.anyMatch((part) -> this.suspectedUntil.containsKey(part) && countsAgainst(crash, part));
	}

	private boolean countsAgainst(CrashedPrompts crash, long part) {
		Survival survival = this.survivals.get(part);
		return crash.parts().contains(part) && (survival == null || survival.atMillis() < crash.knownAtMillis);
	}

	/**
	 * The last survival of a part.
	 *
	 * @param atMillis the clock reading in milliseconds
	 * @param survivedPrompts the number of prompts of this router that had survived then
	 */
	private record Survival(long atMillis, long survivedPrompts) {

		Survival later(Survival other) {
			return (other.atMillis > this.atMillis) ? other : this;
		}

	}

	/**
	 * A part that may be suspected.
	 *
	 * @param part the part
	 * @param crashes the crashes that only it explains so far
	 * @param hasSurvived whether it has survived before them
	 */
	private record Candidate(long part, List<CrashedPrompts> crashes, boolean hasSurvived) {
	}

	/**
	 * The prompts that were unanswered at one upstream when it crashed.
	 */
	private static final class CrashedPrompts {

		/**
		 * The maximum number of prompts recorded for one crash.
		 */
		private static final int MAX_PROMPTS = 256;

		private final long knownAtMillis;

		private final Map<Long, UnansweredPrompt> prompts = new LinkedHashMap<>();

		private final Set<Long> ownPrompts = new HashSet<>();

		/**
		 * The parts with the prompts that have them.
		 */
		private final Map<Long, Set<Long>> promptsByPart = new HashMap<>();

		CrashedPrompts(long knownAtMillis) {
			this.knownAtMillis = knownAtMillis;
		}

		void add(UnansweredPrompt prompt, boolean own) {
			if (this.prompts.size() < MAX_PROMPTS || this.prompts.containsKey(prompt.id())) {
				this.prompts.put(prompt.id(), prompt);
				prompt.parts()
					.forEach((part) -> this.promptsByPart.computeIfAbsent(part, (key) -> new HashSet<>())
						.add(prompt.id()));
				if (own) {
					this.ownPrompts.add(prompt.id());
				}
			}
		}

		Set<Long> parts() {
			return this.promptsByPart.keySet();
		}

		Set<Long> promptsWith(long part) {
			return this.promptsByPart.getOrDefault(part, Set.of());
		}

		int position(long part) {
			return promptsWith(part).stream()
				.mapToInt((prompt) -> this.prompts.get(prompt).parts().indexOf(part))
				.max()
				.orElse(-1);
		}

		List<UnansweredPrompt> ownPrompts() {
			return this.ownPrompts.stream().map(this.prompts::get).toList();
		}

	}

}
