package org.ebonyford.gateway.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.ebonyford.catalog.Catalog;
import org.ebonyford.directory.UpstreamDirectory;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.gateway.exchange.ServiceState;
import org.ebonyford.gateway.exchange.Upstream;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.rollout.RolloutOrders;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.wire.Adapter;
import org.ebonyford.gateway.wire.OperatorRecord;
import org.ebonyford.placement.AvailabilityNotice;
import org.ebonyford.time.Clock;

/**
 * The gateway's view of the configuration and the upstreams, built from the store records
 * that it has read. Logs each change.
 */
final class StoreView {

	/**
	 * Maximum number of removed upstreams that are remembered, and whose notices are
	 * kept. It covers all upstreams that leave within hours.
	 */
	private static final int MAX_REMOVED_UPSTREAMS = 1_000;

	/**
	 * Monotonic clock, for lapsing entries.
	 */
	private final Clock clock;

	/**
	 * Decodes records.
	 */
	private final Adapter adapter;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * The data centre of this gateway.
	 */
	private final String dataCentre;

	/**
	 * Creates the state and connection pool of a new upstream.
	 */
	private final Function<UpstreamEntry, Upstream> upstreamFactory;

	/**
	 * The registered upstream entries.
	 */
	private final UpstreamDirectory directory = new UpstreamDirectory();

	/**
	 * The services by name.
	 */
	private final Map<String, ServiceState> services = new HashMap<>();

	/**
	 * Evacuated data centres; their upstreams get no requests.
	 */
	private final Set<String> evacuated = new HashSet<>();

	/**
	 * The configuration in force, empty until one is read.
	 */
	private Optional<Catalog> catalog = Optional.empty();

	/**
	 * Notices that removed upstreams sent about themselves. They apply again if an entry
	 * of the same start is registered once more.
	 */
	private final Map<UpstreamEntry, AvailabilityNotice> keptNotices = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<UpstreamEntry, AvailabilityNotice> eldest) {
			return size() > MAX_REMOVED_UPSTREAMS;
		}
	};

	/**
	 * Entries that are gone for good, the oldest first.
	 */
	private final Deque<UpstreamEntry> gone = new ArrayDeque<>();

	/**
	 * The roll-outs that the operator has ordered.
	 */
	private final RolloutOrders rollouts = new RolloutOrders();

	/**
	 * Is run when an order may have changed.
	 */
	private Runnable rolloutListener = () -> {
	};

	/**
	 * Is run when the store has come back from an older copy.
	 */
	private Runnable restoreListener = () -> {
	};

	/**
	 * Whether a snapshot of the upstreams has been read.
	 */
	private boolean upstreamsKnown;

	StoreView(Clock clock, Adapter adapter, EventLog log, String dataCentre,
			Function<UpstreamEntry, Upstream> upstreamFactory) {
		this.clock = clock;
		this.adapter = adapter;
		this.log = log;
		this.dataCentre = dataCentre;
		this.upstreamFactory = upstreamFactory;
	}

	Optional<Catalog> catalog() {
		return this.catalog;
	}

	boolean complete() {
		return this.catalog.isPresent() && this.upstreamsKnown;
	}

	/**
	 * Records that the store does not answer. Entries that disappear during the outage
	 * are kept, as their upstreams could not renew them.
	 */
	void storeLost() {
		this.directory.storeAway();
	}

	/**
	 * Records that the store answers again. Entries that have disappeared are dropped
	 * unless they are renewed in time.
	 */
	void storeRegained() {
		this.directory.storeBack(this.clock.millis());
	}

	RolloutOrders rollouts() {
		return this.rollouts;
	}

	/**
	 * Sets what is run for roll-outs.
	 * @param ordersChanged is run when an order may have changed
	 * @param restored is run after the store has come back from an older copy
	 */
	void onRollouts(Runnable ordersChanged, Runnable restored) {
		this.rolloutListener = ordersChanged;
		this.restoreListener = restored;
	}

	Set<String> evacuated() {
		return this.evacuated;
	}

	ServiceState service(String name) {
		return this.services.computeIfAbsent(name, (key) -> new ServiceState(this.dataCentre));
	}

	Map<String, ServiceState> services() {
		return this.services;
	}

	List<Upstream> upstreams() {
		List<Upstream> all = new ArrayList<>();
		this.services.values().forEach((service) -> all.addAll(service.upstreams().values()));
		return all;
	}

	/**
	 * Applies a snapshot of the operator records. Ends evacuations and roll-outs that are
	 * missing from it.
	 * @param batch the records
	 */
	void applyOperatorSnapshot(StoreBatch batch) {
		this.rollouts.beginSnapshot(batch.era());
		Set<String> endedEvacuations = new HashSet<>(this.evacuated);
		batch.records().forEach((record) -> {
			decodeOperatorRecord(record).ifPresent((read) -> {
				if (read instanceof OperatorRecord.ForEvacuation evacuation) {
					endedEvacuations.remove(evacuation.dataCentre());
				}
			});
			applyOperatorRecord(record);
		});
		endedEvacuations.forEach((ended) -> applyEvacuation(new OperatorRecord.ForEvacuation(ended, false)));
		Set<String> keys = batch.records().stream().map(StoreRecord::key).collect(Collectors.toSet());
		if (this.rollouts.retain(keys)) {
			this.rolloutListener.run();
		}
	}

	/**
	 * Applies the operator records after the store has come back from an older copy. No
	 * evacuation or roll-out ends, as the record of one that began since may be lost.
	 * @param batch the records
	 */
	void applyRestoredOperatorRecords(StoreBatch batch) {
		this.rollouts.beginRestored(batch.era());
		batch.records().forEach(this::applyOperatorRecord);
		this.restoreListener.run();
	}

	void applyOperatorRecord(StoreRecord record) {
		Optional<OperatorRecord> read = decodeOperatorRecord(record);
		if (read.isEmpty()) {
			logUnreadable(record.key());
		}
		else if (read.get() instanceof OperatorRecord.ForCatalog configuration) {
			applyCatalog(configuration.catalog());
		}
		else if (read.get() instanceof OperatorRecord.ForEvacuation evacuation) {
			applyEvacuation(evacuation);
		}
		else if (read.get() instanceof OperatorRecord.ForRollout rollout && this.rollouts.apply(record, rollout)) {
			this.rolloutListener.run();
		}
	}

	private void applyCatalog(Catalog newCatalog) {
		if (this.catalog.isPresent() && this.catalog.get().version() >= newCatalog.version()) {
			return;
		}
		this.catalog = Optional.of(newCatalog);
		newCatalog.services().forEach((name, definition) -> service(name).define(definition));
		this.log.write(LogLine.of(GatewayEvent.CONFIGURATION)
			.with("version", newCatalog.version())
			.with("services", newCatalog.services().size())
			.with("tokens_per_second", newCatalog.tokensPerSecond())
			.with("keys", newCatalog.keys().map(Map::size).orElse(0)));
	}

	private void applyEvacuation(OperatorRecord.ForEvacuation evacuation) {
		boolean changed = evacuation.active() ? this.evacuated.add(evacuation.dataCentre())
				: this.evacuated.remove(evacuation.dataCentre());
		if (changed) {
			this.log.write(LogLine.of(GatewayEvent.EVACUATION)
				.with("data_centre", evacuation.dataCentre())
				.with("active", evacuation.active()));
		}
	}

	void applyUpstreamSnapshot(StoreBatch batch) {
		replaceUpstreams(decodeEntries(batch));
	}

	/**
	 * Applies the upstream records after the store has come back from an older copy.
	 * Upstreams that have left since stay out; those that the copy lacks have time to
	 * register again.
	 * @param batch the records
	 */
	void applyRestoredUpstreams(StoreBatch batch) {
		this.directory.storeAway();
		this.directory.storeBack(this.clock.millis());
		replaceUpstreams(decodeEntries(batch).stream()
			.filter((entry) -> this.gone.stream().noneMatch(entry::sameStart))
			.toList());
	}

	private List<UpstreamEntry> decodeEntries(StoreBatch batch) {
		List<UpstreamEntry> entries = new ArrayList<>();
		batch.records()
			.stream()
			.filter((record) -> record.value().isPresent())
			.forEach((record) -> decodeEntry(record).ifPresentOrElse((entry) -> entries.add(withLeaving(entry)),
					() -> logUnreadable(record.key())));
		return entries;
	}

	private void replaceUpstreams(List<UpstreamEntry> entries) {
		List<UpstreamEntry> removed = this.directory.replaceAll(entries, this.clock.millis());
		entries.forEach(this::applyEntry);
		removed.forEach(this::dropUpstream);
		this.upstreamsKnown = true;
	}

	/**
	 * Returns an entry as draining if its upstream was draining before: it never stops
	 * draining, so a record that says so is an older one.
	 * @param entry the entry
	 * @return the entry
	 */
	private UpstreamEntry withLeaving(UpstreamEntry entry) {
		Upstream known = service(entry.service()).upstreams().get(entry.id());
		boolean leaving = known != null && known.state().entry().sameStart(entry) && known.state().entry().draining();
		return leaving ? entry.asDraining() : entry;
	}

	void applyUpstreamRecord(StoreRecord record) {
		if (record.value().isEmpty()) {
			this.directory.remove(record.key(), this.clock.millis()).ifPresent(this::dropUpstream);
			return;
		}
		Optional<UpstreamEntry> entry = decodeEntry(record).map(this::withLeaving);
		if (entry.isEmpty()) {
			logUnreadable(record.key());
			return;
		}
		this.directory.put(entry.get());
		applyEntry(entry.get());
	}

	/**
	 * Returns whether two records of an upstream hold equal entries.
	 * @param before the earlier record
	 * @param after the later record
	 * @return {@code true} if the later record only repeats the earlier one
	 */
	boolean sameEntry(StoreRecord before, StoreRecord after) {
		Optional<UpstreamEntry> first = decodeEntry(before);
		return first.isPresent() && first.equals(decodeEntry(after));
	}

	/**
	 * Decodes an entry. A record on which the adapter throws counts as unreadable, so
	 * that one bad record does not stop the others.
	 * @param record the record
	 * @return the entry, or empty if the record is deleted or unreadable
	 */
	private Optional<UpstreamEntry> decodeEntry(StoreRecord record) {
		try {
			return record.value().flatMap((value) -> this.adapter.upstream(record.key(), value));
		}
		catch (RuntimeException ex) {
			return Optional.empty();
		}
	}

	private Optional<OperatorRecord> decodeOperatorRecord(StoreRecord record) {
		try {
			return this.adapter.operatorRecord(record.key(), record.value());
		}
		catch (RuntimeException ex) {
			return Optional.empty();
		}
	}

	void expire() {
		this.directory.expire(this.clock.millis()).forEach(this::dropUpstream);
	}

	private void applyEntry(UpstreamEntry entry) {
		Map<String, Upstream> upstreams = service(entry.service()).upstreams();
		Upstream known = upstreams.get(entry.id());
		if (known != null && known.state().entry().sameStart(entry)) {
			boolean changed = known.state().entry().draining() != entry.draining();
			known.state().update(entry, this.clock.millis());
			if (changed) {
				log(entry);
			}
			return;
		}
		remove(entry.id());
		this.gone.removeIf(entry::sameStart);
		Upstream created = this.upstreamFactory.apply(entry);
		this.keptNotices.forEach((gone, notice) -> {
			if (gone.sameStart(entry)) {
				created.state().health().notice(notice);
			}
		});
		upstreams.put(entry.id(), created);
		log(entry);
	}

	private void log(UpstreamEntry entry) {
		this.log.write(LogLine.of(GatewayEvent.UPSTREAM)
			.with("upstream", entry.id())
			.with("service", entry.service())
			.with("data_centre", entry.dataCentre())
			.with("version", entry.version())
			.with("draining", entry.draining())
			.with("cold_ms", entry.coldMillis()));
	}

	private void dropUpstream(UpstreamEntry entry) {
		remove(entry.id());
		this.gone.add(entry);
		if (this.gone.size() > MAX_REMOVED_UPSTREAMS) {
			this.gone.remove();
		}
		this.log.write(
				LogLine.of(GatewayEvent.UPSTREAM_GONE).with("upstream", entry.id()).with("service", entry.service()));
	}

	private void remove(String id) {
		this.services.values().forEach((service) -> {
			Upstream removed = service.upstreams().remove(id);
			if (removed != null) {
				removed.pool().close();
				AvailabilityNotice notice = removed.state().health().notice();
				if (!notice.equals(AvailabilityNotice.NONE)) {
					this.keptNotices.put(removed.state().entry(), notice);
				}
			}
		});
	}

	private void logUnreadable(String key) {
		this.log.write(LogLine.of(GatewayEvent.UNREADABLE_RECORD).with("key", key));
	}

}
