package org.ebonyford.emulator.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A weighted fair queue before a fixed set of slots, to compare a fleet with. One queue
 * before all slots knows everything at once; several queues with a part of the slots each
 * are routers that don't speak with each other.
 */
public final class NaiveQueue implements Sender {

	/**
	 * The cost that a request is charged before it is known.
	 */
	private static final long ASSUMED_COST = 45;

	/**
	 * Sends what leaves the queue.
	 */
	private final Sender sender;

	/**
	 * The weights by the names of the organisations.
	 */
	private final Map<String, Integer> weights;

	/**
	 * The free slots, each of which is a route to its upstream.
	 */
	private final Deque<Route> free;

	/**
	 * The waiting requests by the names of the organisations.
	 */
	private final Map<String, Deque<Waiting>> waiting = new TreeMap<>();

	/**
	 * The cost charged to each organisation.
	 */
	private final Map<String, Long> charged = new TreeMap<>();

	/**
	 * Creates a queue.
	 * @param sender sends what leaves the queue
	 * @param weights the weights by the names of the organisations
	 * @param slots the slots, each of which is a route to its upstream
	 */
	public NaiveQueue(Sender sender, Map<String, Integer> weights, List<Route> slots) {
		this.sender = sender;
		this.weights = Map.copyOf(weights);
		this.free = new ArrayDeque<>(slots);
	}

	/**
	 * Deals slots out to queues in turn.
	 * @param slots the slots
	 * @param queues the number of queues
	 * @return the slots of each queue
	 */
	public static List<List<Route>> deal(List<Route> slots, int queues) {
		List<List<Route>> dealt = new ArrayList<>();
		for (int queue = 0; queue < queues; queue++) {
			dealt.add(new ArrayList<>());
		}
		for (int slot = 0; slot < slots.size(); slot++) {
			dealt.get(slot % queues).add(slots.get(slot));
		}
		return dealt;
	}

	@Override
	public CompletableFuture<Verdict> send(Route ignored, CallSpec spec) {
		Waiting request = new Waiting(spec, new CompletableFuture<>());
		synchronized (this) {
			String organisation = spec.organisation().name();
			this.waiting.computeIfAbsent(organisation, (name) -> new ArrayDeque<>()).add(request);
			this.charged.putIfAbsent(organisation, 0L);
		}
		dispatch();
		return request.verdict();
	}

	private void dispatch() {
		for (Optional<Dispatched> next = take(); next.isPresent(); next = take()) {
			Dispatched dispatched = next.get();
			this.sender.send(dispatched.slot(), dispatched.request().spec())
				.thenAccept((verdict) -> ended(dispatched, verdict));
		}
	}

	private synchronized Optional<Dispatched> take() {
		if (this.free.isEmpty()) {
			return Optional.empty();
		}
		Optional<String> next = this.waiting.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isEmpty())
			.map(Map.Entry::getKey)
			.min(Comparator.comparingDouble(this::service));
		next.ifPresent((organisation) -> this.charged.merge(organisation, ASSUMED_COST, Long::sum));
		return next.map((organisation) -> new Dispatched(this.free.poll(), this.waiting.get(organisation).poll()));
	}

	private double service(String organisation) {
		return (double) this.charged.get(organisation) / this.weights.getOrDefault(organisation, 1);
	}

	private void ended(Dispatched dispatched, Verdict verdict) {
		synchronized (this) {
			this.free.add(dispatched.slot());
			this.charged.merge(verdict.spec().organisation().name(), verdict.cost() - ASSUMED_COST, Long::sum);
		}
		dispatched.request().verdict().complete(verdict);
		dispatch();
	}

	/**
	 * A request that waits.
	 *
	 * @param spec the request
	 * @param verdict takes the judgement on its answer
	 */
	private record Waiting(CallSpec spec, CompletableFuture<Verdict> verdict) {

	}

	/**
	 * A request that leaves the queue.
	 *
	 * @param slot the slot that it takes
	 * @param request the request
	 */
	private record Dispatched(Route slot, Waiting request) {

	}

}
