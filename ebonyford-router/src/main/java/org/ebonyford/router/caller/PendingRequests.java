package org.ebonyford.router.caller;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.ebonyford.identity.RequestId;

/**
 * The requests that a router holds, bounded by their number and by the bytes of their
 * bodies.
 */
public final class PendingRequests {

	/**
	 * The requests that may be held at a time.
	 */
	private final int maxRequests;

	/**
	 * The bytes that the bodies of held requests may have together.
	 */
	private final long maxBytes;

	/**
	 * The requests by name.
	 */
	private final Map<RequestId, PendingRequest> requests = new ConcurrentHashMap<>();

	/**
	 * The requests that are held or still arrive.
	 */
	private final AtomicInteger count = new AtomicInteger();

	/**
	 * The bytes of bodies that are held or still arrive.
	 */
	private final AtomicLong bytes = new AtomicLong();

	/**
	 * Creates an empty table.
	 * @param settings the bounds
	 */
	public PendingRequests(CallerSettings settings) {
		this.maxRequests = settings.maxHeldRequests();
		this.maxBytes = settings.maxHeldBytes();
	}

	/**
	 * Finds a request.
	 * @param id the name of the request
	 * @return the request, or empty if it is not held
	 */
	public Optional<PendingRequest> find(RequestId id) {
		return Optional.ofNullable(this.requests.get(id));
	}

	/**
	 * Removes a request that gets nothing more, and its body with it.
	 * @param id the name of the request
	 * @return the request, or empty if it was not held
	 */
	public Optional<PendingRequest> remove(RequestId id) {
		PendingRequest removed = this.requests.remove(id);
		if (removed != null) {
			release(removed.content().body().length);
		}
		return Optional.ofNullable(removed);
	}

	/**
	 * Returns how many requests are held or still arrive.
	 * @return the number
	 */
	public int size() {
		return this.count.get();
	}

	/**
	 * Returns the requests that are held.
	 * @return a view that may change
	 */
	Collection<PendingRequest> held() {
		return this.requests.values();
	}

	/**
	 * Takes the place of a request that starts to arrive.
	 * @return {@code false} if the router holds as many as it may
	 */
	boolean tryEnter() {
		if (this.count.incrementAndGet() > this.maxRequests) {
			this.count.decrementAndGet();
			return false;
		}
		return true;
	}

	/**
	 * Takes the room for bytes of a body.
	 * @param length the number of bytes
	 * @return {@code false} if the router holds as many as it may
	 */
	boolean tryReserve(int length) {
		if (this.bytes.addAndGet(length) > this.maxBytes) {
			this.bytes.addAndGet(-length);
			return false;
		}
		return true;
	}

	/**
	 * Gives back the place and the room of a request.
	 * @param length the bytes that were reserved for its body
	 */
	void release(int length) {
		this.bytes.addAndGet(-length);
		this.count.decrementAndGet();
	}

	/**
	 * Adds a request whose place and room are taken.
	 * @param request the request
	 */
	void add(PendingRequest request) {
		this.requests.put(request.request().id(), request);
	}

}
