package org.ebonyford.dispatch;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;

import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.RequestId;

/**
 * The requests that wait at this router for one pool, in the order of their arrival for
 * each organisation.
 */
final class EntryQueue {

	/**
	 * The waiting requests by organisation, without empty queues.
	 */
	private final Map<OrganisationId, Deque<Waiting>> queues = new HashMap<>();

	/**
	 * The waiting requests by name.
	 */
	private final Map<RequestId, Waiting> requests = new HashMap<>();

	/**
	 * The waiting requests by deadline, among them some that no longer wait.
	 */
	private final PriorityQueue<Waiting> deadlines = new PriorityQueue<>(
			Comparator.comparingLong((Waiting waiting) -> waiting.request().deadline()));

	/**
	 * Adds a request behind all others of its organisation.
	 * @param waiting the request
	 */
	void addLast(Waiting waiting) {
		index(waiting).addLast(waiting);
	}

	/**
	 * Adds a request before all others of its organisation.
	 * @param waiting the request
	 */
	void addFirst(Waiting waiting) {
		index(waiting).addFirst(waiting);
	}

	/**
	 * Takes the first request of an organisation.
	 * @param organisation the organisation
	 * @return the request, or empty if none waits
	 */
	Optional<Waiting> poll(OrganisationId organisation) {
		Deque<Waiting> queue = this.queues.get(organisation);
		if (queue == null) {
			return Optional.empty();
		}
		Waiting first = queue.pollFirst();
		this.requests.remove(first.request().id());
		if (queue.isEmpty()) {
			this.queues.remove(organisation);
		}
		return Optional.of(first);
	}

	/**
	 * Removes a request.
	 * @param id the name of the request
	 * @return the request, or empty if it doesn't wait
	 */
	Optional<Waiting> remove(RequestId id) {
		Waiting waiting = this.requests.remove(id);
		if (waiting == null) {
			return Optional.empty();
		}
		OrganisationId organisation = waiting.request().organisation();
		Deque<Waiting> queue = this.queues.get(organisation);
		queue.remove(waiting);
		if (queue.isEmpty()) {
			this.queues.remove(organisation);
		}
		return Optional.of(waiting);
	}

	/**
	 * Removes the requests whose deadline passed.
	 * @param now the clock reading in milliseconds
	 * @param action what to do with each of them
	 */
	void expire(long now, Consumer<Waiting> action) {
		while (!this.deadlines.isEmpty() && this.deadlines.peek().request().deadline() <= now) {
			Waiting due = this.deadlines.poll();
			if (this.requests.get(due.request().id()) == due) {
				remove(due.request().id());
				action.accept(due);
			}
		}
	}

	/**
	 * Returns how many requests of an organisation wait.
	 * @param organisation the organisation
	 * @return the requests
	 */
	int count(OrganisationId organisation) {
		Deque<Waiting> queue = this.queues.get(organisation);
		return (queue != null) ? queue.size() : 0;
	}

	/**
	 * Returns the first request of an organisation.
	 * @param organisation the organisation, of which at least one request waits
	 * @return the request
	 */
	Waiting first(OrganisationId organisation) {
		return this.queues.get(organisation).getFirst();
	}

	/**
	 * Returns the organisations with waiting requests.
	 * @return the organisations
	 */
	Set<OrganisationId> organisations() {
		return this.queues.keySet();
	}

	/**
	 * Returns how many requests wait.
	 * @return the requests
	 */
	int size() {
		return this.requests.size();
	}

	private Deque<Waiting> index(Waiting waiting) {
		this.requests.put(waiting.request().id(), waiting);
		this.deadlines.add(waiting);
		return this.queues.computeIfAbsent(waiting.request().organisation(), (absent) -> new ArrayDeque<>());
	}

}
