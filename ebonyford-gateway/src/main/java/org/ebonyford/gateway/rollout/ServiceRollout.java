package org.ebonyford.gateway.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.rollout.ExposureLimit;
import org.ebonyford.rollout.RolloutOrder;
import org.ebonyford.rollout.RolloutOutcomes;
import org.ebonyford.rollout.RolloutPhase;
import org.ebonyford.rollout.RolloutProgress;
import org.ebonyford.rollout.RolloutSettings;
import org.ebonyford.rollout.VersionFilter;
import org.ebonyford.rollout.VersionFilter.Versions;

/**
 * An order as this gateway carries it out: which versions its requests go to, and what
 * became of them.
 */
final class ServiceRollout {

	/**
	 * The scale of a number from 0 to 1 made of the upper 53 bits of a hash.
	 */
	private static final double UNIT = 0x1.0p-53;

	/**
	 * The number of lower bits of a hash that do not count in such a number.
	 */
	private static final int LOWER_BITS = 11;

	/**
	 * The operator's limits.
	 */
	private final RolloutSettings settings;

	/**
	 * The order.
	 */
	private final RolloutOrder order;

	/**
	 * Chooses the versions for requests.
	 */
	private final VersionFilter filter;

	/**
	 * Limits the requests to the target.
	 */
	private final ExposureLimit limit;

	/**
	 * Counts what became of the requests.
	 */
	private final RolloutOutcomes outcomes = new RolloutOutcomes();

	/**
	 * The newest progress of the order, empty if none is known.
	 */
	private Optional<RolloutProgress> progress = Optional.empty();

	/**
	 * Whether the store was read since the order is known, so that without progress the
	 * roll-out has only begun.
	 */
	private boolean progressRead;

	/**
	 * Whether the store holds older progress than this gateway knows.
	 */
	private boolean storeBehind;

	/**
	 * Whether the store holds progress of a later order, which this gateway is about to
	 * read.
	 */
	private boolean superseded;

	/**
	 * The upstreams of the target that take the canary requests.
	 */
	private Set<String> targets = Set.of();

	/**
	 * What the choice of those upstreams was based on. They are ordered anew only when it
	 * changes, as ordering hundreds takes a considerable part of a millisecond.
	 */
	private TargetBasis targetBasis = new TargetBasis(List.of(), -1, Optional.empty());

	/**
	 * Whether an upstream of the target is registered that takes requests.
	 */
	private boolean targetRegistered;

	/**
	 * Whether an upstream of another version is registered that takes requests.
	 */
	private boolean othersRegistered;

	/**
	 * The requests that this gateway has open at other versions.
	 */
	private int openElsewhere;

	ServiceRollout(RolloutSettings settings, RolloutOrder order) {
		this.settings = settings;
		this.order = order;
		this.filter = new VersionFilter(settings);
		this.limit = new ExposureLimit(settings);
	}

	RolloutOrder order() {
		return this.order;
	}

	Optional<RolloutProgress> progress() {
		return this.progress;
	}

	ExposureLimit limit() {
		return this.limit;
	}

	RolloutOutcomes outcomes() {
		return this.outcomes;
	}

	boolean targetRegistered() {
		return this.targetRegistered;
	}

	int openElsewhere() {
		return this.openElsewhere;
	}

	boolean progressRead() {
		return this.progressRead;
	}

	boolean storeBehind() {
		return this.storeBehind;
	}

	boolean superseded() {
		return this.superseded;
	}

	boolean terminal() {
		return this.progress.filter((known) -> known.phase().terminal()).isPresent();
	}

	boolean toTarget(UpstreamEntry upstream) {
		return this.order.target().equals(upstream.version());
	}

	/**
	 * Notes that the store was read, and whether it had progress of this order.
	 * @param saved the progress that it had for the service, empty if there was none
	 */
	void storeRead(Optional<RolloutProgress> saved) {
		this.progressRead = true;
		this.storeBehind = this.progress.isPresent()
				&& saved.filter((other) -> other.order().revision() >= this.order.revision()).isEmpty();
		saved.ifPresent(this::adopt);
	}

	/**
	 * Takes progress that was read from the store or that the store has accepted. A
	 * terminal phase is never left, and older progress comes from an older copy of the
	 * store.
	 * @param read the progress
	 * @return whether it is newer than what was known
	 */
	boolean adopt(RolloutProgress read) {
		if (!ofThisOrder(read)) {
			this.superseded = this.superseded || read.order().revision() > this.order.revision();
			return false;
		}
		this.progressRead = true;
		boolean newer = this.progress.isEmpty() || newer(read, this.progress.get());
		this.storeBehind = !newer && newer(this.progress.get(), read);
		if (newer) {
			this.progress = Optional.of(read);
		}
		return newer;
	}

	boolean ofThisOrder(RolloutProgress other) {
		return other.order().equals(this.order);
	}

	private static boolean newer(RolloutProgress one, RolloutProgress other) {
		boolean terminal = one.phase().terminal();
		return (terminal != other.phase().terminal()) ? terminal : !terminal && one.step() > other.step();
	}

	/**
	 * Takes note of the registered upstreams and of the requests open there.
	 * @param upstreams the upstreams
	 */
	void refresh(Collection<RolloutFleet.Registered> upstreams) {
		List<String> ids = new ArrayList<>();
		int others = 0;
		int open = 0;
		for (RolloutFleet.Registered upstream : upstreams) {
			boolean target = toTarget(upstream.entry());
			open += target ? 0 : upstream.open();
			if (!upstream.entry().draining()) {
				others += target ? 0 : 1;
				if (target) {
					ids.add(upstream.entry().id());
				}
			}
		}
		this.openElsewhere = open;
		this.targetRegistered = !ids.isEmpty();
		this.othersRegistered = others > 0;
		TargetBasis basis = new TargetBasis(ids, others, this.progress);
		if (!basis.equals(this.targetBasis)) {
			this.targetBasis = basis;
			this.targets = this.filter.targets(current(), ids, others);
		}
	}

	/**
	 * Returns the progress, or that of a roll-out that has only begun.
	 * @return the progress
	 */
	private RolloutProgress current() {
		return this.progress.orElseGet(() -> RolloutProgress.begun(this.order, this.settings.canaryShare(), 0));
	}

	/**
	 * Divides the upstreams that can take a request by whether their versions may.
	 * @param <U> the type of an upstream
	 * @param request the request
	 * @param usable the upstreams that can take it
	 * @param entryOf returns the entry of an upstream
	 * @param view the age of the view of the store and the number of gateways
	 * @return the upstreams that the request is to be placed on, followed by those that
	 * may take it if the former cannot
	 */
	<U> List<List<U>> prefer(PlacedRequest request, List<U> usable, Function<U, UpstreamEntry> entryOf, View view) {
		RolloutProgress now = current();
		if (unrestricted(now.phase()) || usable.isEmpty()) {
			return List.of(usable);
		}
		if (request.continued()) {
			boolean canary = this.progressRead && this.limit.allowsContinued(view.gateways());
			boolean allowed = this.filter.allowsContinued(now, view.ageMillis(), canary,
					entryOf.apply(usable.get(0)).version());
			return List.of(allowed ? usable : List.of());
		}
		Versions first = versions(now, request, view);
		List<U> preferred = usable.stream().filter((upstream) -> takes(first, now, entryOf.apply(upstream))).toList();
		if (!fallsBack(first, now.phase(), view)) {
			return List.of(preferred);
		}
		Versions second = (first == Versions.TARGET) ? Versions.OTHERS : Versions.TARGET;
		return List.of(preferred,
				usable.stream().filter((upstream) -> takes(second, now, entryOf.apply(upstream))).toList());
	}

	/**
	 * Returns whether the order does not restrict requests: there is nothing to move them
	 * from, or the upstreams of a completed order have been replaced since.
	 * @param phase the phase
	 * @return {@code true} if all versions may serve
	 */
	private boolean unrestricted(RolloutPhase phase) {
		return (phase == RolloutPhase.CANARY && !this.othersRegistered)
				|| (phase == RolloutPhase.COMPLETED && !this.targetRegistered);
	}

	/**
	 * Returns whether most requests may go to an upstream, so that it counts as capacity.
	 * @param upstream the upstream
	 * @return {@code false} if its version gets no requests, or canary requests only
	 */
	boolean inUse(UpstreamEntry upstream) {
		RolloutPhase phase = current().phase();
		if (unrestricted(phase)) {
			return true;
		}
		return switch (phase) {
			case CANARY, ROLLED_BACK -> !toTarget(upstream);
			case SHIFTING -> true;
			case RETIRING, COMPLETED -> toTarget(upstream);
		};
	}

	private Versions versions(RolloutProgress now, PlacedRequest request, View view) {
		boolean canary = this.progressRead && now.phase() == RolloutPhase.CANARY
				&& this.limit.allows(now.share(), view.gateways());
		double draw = (Rendezvous.weight(this.order.revision(), request.key()) >>> LOWER_BITS) * UNIT;
		return this.filter.choose(now, view.ageMillis(), canary, draw);
	}

	private boolean takes(Versions versions, RolloutProgress now, UpstreamEntry upstream) {
		return versions.include(this.order, upstream.version()) && (versions == Versions.OTHERS
				|| now.phase() != RolloutPhase.CANARY || this.targets.contains(upstream.id()));
	}

	/**
	 * Returns whether a request may go to the other side if the preferred one cannot take
	 * it, so that a roll-out takes no capacity away.
	 * @param first the preferred versions
	 * @param phase the phase
	 * @param view the age of the view of the store
	 * @return {@code true} if it may
	 */
	private boolean fallsBack(Versions first, RolloutPhase phase, View view) {
		if (first == Versions.TARGET) {
			return phase == RolloutPhase.CANARY
					|| (phase == RolloutPhase.SHIFTING && view.ageMillis() <= this.settings.othersViewLimitMillis());
		}
		return phase == RolloutPhase.SHIFTING && view.ageMillis() <= this.settings.targetViewLimitMillis();
	}

	/**
	 * What the choice of the target's upstreams is based on.
	 *
	 * @param targets the upstreams of the target
	 * @param others the number of upstreams of other versions
	 * @param progress the progress
	 */
	private record TargetBasis(List<String> targets, int others, Optional<RolloutProgress> progress) {
	}

	/**
	 * What a choice of versions depends on besides the request.
	 *
	 * @param ageMillis the age of the view of the store in milliseconds
	 * @param gateways the number of gateways that may be alive
	 */
	record View(long ageMillis, int gateways) {
	}

}
