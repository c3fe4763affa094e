package org.ebonyford.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The upstreams that are registered. While the store is away, upstreams cannot renew
 * their entries and the store drops them; those that live are back shortly after its
 * return. An entry that goes in that time therefore stays for a short span, and is
 * dropped for good if it is not renewed within it.
 */
public final class UpstreamDirectory {

	/**
	 * How long in milliseconds after the store's return an entry that went may be
	 * missing. The platform promises about two seconds.
	 */
	public static final long RENEWAL_MILLIS = 2_000;

	/**
	 * The entries by identifier.
	 */
	private final Map<String, UpstreamEntry> entries = new HashMap<>();

	/**
	 * Until when an entry that went is kept, by identifier, in milliseconds.
	 */
	private final Map<String, Long> lapsing = new HashMap<>();

	/**
	 * Whether the store answers.
	 */
	private boolean storeAway;

	/**
	 * Until when entries that go are kept, in milliseconds.
	 */
	private long renewalUntil = Long.MIN_VALUE;

	/**
	 * Notes that the store does not answer.
	 */
	public void storeAway() {
		this.storeAway = true;
	}

	/**
	 * Notes that the store answers.
	 * @param now the time in milliseconds
	 */
	public void storeBack(long now) {
		if (this.storeAway) {
			this.renewalUntil = now + RENEWAL_MILLIS;
			this.lapsing.replaceAll((id, until) -> this.renewalUntil);
		}
		this.storeAway = false;
	}

	/**
	 * Adds or replaces an entry.
	 * @param entry the entry
	 * @return the entry that it replaces, if there is one
	 */
	public Optional<UpstreamEntry> put(UpstreamEntry entry) {
		this.lapsing.remove(entry.id());
		return Optional.ofNullable(this.entries.put(entry.id(), entry));
	}

	/**
	 * Notes that an entry is gone from the store.
	 * @param id the identifier
	 * @param now the time in milliseconds
	 * @return the entry, if the upstream is gone for good; empty if it may yet renew
	 */
	public Optional<UpstreamEntry> remove(String id, long now) {
		UpstreamEntry entry = this.entries.get(id);
		boolean mayRenew = this.storeAway || now < this.renewalUntil;
		if (entry != null && !entry.draining() && mayRenew) {
			this.lapsing.putIfAbsent(id, this.storeAway ? Long.MAX_VALUE : this.renewalUntil);
			return Optional.empty();
		}
		this.lapsing.remove(id);
		return Optional.ofNullable(this.entries.remove(id));
	}

	/**
	 * Replaces all entries by a whole list from the store.
	 * @param list the list
	 * @param now the time in milliseconds
	 * @return the entries that are gone for good
	 */
	public List<UpstreamEntry> replaceAll(Collection<UpstreamEntry> list, long now) {
		Map<String, UpstreamEntry> before = new HashMap<>(this.entries);
		list.forEach((entry) -> {
			before.remove(entry.id());
			put(entry);
		});
		return before.keySet().stream().map((id) -> remove(id, now)).flatMap(Optional::stream).toList();
	}

	/**
	 * Drops the entries whose time to renew has passed.
	 * @param now the time in milliseconds
	 * @return the entries that are gone for good
	 */
	public List<UpstreamEntry> expire(long now) {
		List<String> expired = this.lapsing.entrySet()
			.stream()
			.filter((lapse) -> lapse.getValue() <= now)
			.map(Map.Entry::getKey)
			.toList();
		Iterator<String> ids = expired.iterator();
		while (ids.hasNext()) {
			this.lapsing.remove(ids.next());
		}
		return expired.stream().map(this.entries::remove).toList();
	}

	/**
	 * Returns the entries.
	 * @return a live view
	 */
	public Collection<UpstreamEntry> entries() {
		return this.entries.values();
	}

}
