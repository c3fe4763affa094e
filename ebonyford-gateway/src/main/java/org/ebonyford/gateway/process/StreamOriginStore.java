package org.ebonyford.gateway.process;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.EventExecutor;

import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.gateway.exchange.OriginLookup;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.store.StoreTopic;
import org.ebonyford.stream.StreamOrigin;
import org.ebonyford.stream.StreamOrigins;
import org.ebonyford.time.Clock;

/**
 * Saves in the store which software versions began the streams of this gateway, while
 * several versions serve, and looks up the streams of others. A stream may be taken up at
 * any gateway, also after all of them were killed.
 */
final class StreamOriginStore implements OriginLookup {

	/**
	 * The minimum time in milliseconds for which requests are collected before they are
	 * saved: below the usual time to the first event.
	 */
	private static final long MIN_SAVE_DELAY_MILLIS = 50;

	/**
	 * The time in milliseconds by which each gateway of the fleet lengthens the delay, as
	 * a partition of the store takes one append at a time.
	 */
	private static final long SAVE_DELAY_PER_GATEWAY_MILLIS = 10;

	/**
	 * The minimum time in milliseconds for which requests are saved under the same key.
	 */
	private static final long MIN_SLOT_MILLIS = 250;

	/**
	 * The minimum interval in milliseconds between two reads.
	 */
	private static final long READ_INTERVAL_MILLIS = 50;

	/**
	 * The time in milliseconds beyond the delay after which the origin of a stream that
	 * has just begun is saved.
	 */
	private static final long SAVE_MARGIN_MILLIS = 100;

	/**
	 * The maximum age in milliseconds of the list of upstreams up to which no other
	 * version can have come unnoticed.
	 */
	private static final long MAX_VIEW_AGE_MILLIS = 3_000;

	/**
	 * The maximum difference in milliseconds between the wall clocks of gateways.
	 */
	private static final long CLOCK_TOLERANCE_MILLIS = 5_000;

	/**
	 * The size in bytes of an origin: the hashes of service, request and version.
	 */
	private static final int ORIGIN_BYTES = 3 * Long.BYTES;

	/**
	 * The monotonic clock.
	 */
	private final Clock clock;

	/**
	 * The wall clock.
	 */
	private final Clock wall;

	/**
	 * The event loop.
	 */
	private final EventExecutor loop;

	/**
	 * The store.
	 */
	private final MetadataStore store;

	/**
	 * What this gateway knows of the fleet.
	 */
	private final Fleet fleet;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * The origins that are known.
	 */
	private final StreamOrigins origins;

	/**
	 * The lookups that wait for a read.
	 */
	private List<Lookup> waiting = new ArrayList<>();

	/**
	 * Whether a read is scheduled or under way.
	 */
	private boolean reading;

	/**
	 * The offset of the next record, negative before the first read.
	 */
	private long next = -1;

	/**
	 * The era of the store that the offset belongs to.
	 */
	private long era;

	/**
	 * Whether a batch is about to be saved.
	 */
	private boolean saving;

	/**
	 * The number of the slot in which the last batch was saved, counted from the epoch.
	 * Each slot has a key, which is used again only after the lifetime of the streams in
	 * its batch.
	 */
	private long lastSlot = -1;

	/**
	 * The origins in the last batch.
	 */
	private final List<StreamOrigin> lastBatch = new ArrayList<>();

	StreamOriginStore(Clock clock, Clock wall, EventExecutor loop, MetadataStore store, Fleet fleet, EventLog log) {
		this.clock = clock;
		this.wall = wall;
		this.loop = loop;
		this.store = store;
		this.fleet = fleet;
		this.log = log;
		this.origins = new StreamOrigins(clock.millis());
	}

	private void observeVersions() {
		long now = this.clock.millis();
		this.fleet.upstreams().forEach((entry) -> this.origins.recordVersion(entry.service(), entry.version(), now));
	}

	@Override
	public void recordSent(String service, String request, String version) {
		long now = this.clock.millis();
		this.origins.recordSent(service, request, version, now);
		if (this.origins.mixed(service, now)) {
			saveLater();
		}
	}

	/**
	 * Observes the versions in service, and saves what has to be.
	 */
	void tick() {
		observeVersions();
		if (!this.saving) {
			saveUnsaved();
		}
	}

	private void saveLater() {
		if (!this.saving) {
			this.saving = true;
			this.loop.schedule(this::saveUnsaved, saveDelayMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void saveUnsaved() {
		this.saving = false;
		List<StreamOrigin> unsaved = this.origins.takeUnsaved(this.clock.millis());
		if (!unsaved.isEmpty()) {
			save(unsaved);
		}
	}

	private long saveDelayMillis() {
		return Math.max(MIN_SAVE_DELAY_MILLIS, this.fleet.gatewayCount() * SAVE_DELAY_PER_GATEWAY_MILLIS);
	}

	private void save(List<StreamOrigin> unsaved) {
		long slotMillis = Math.max(MIN_SLOT_MILLIS, saveDelayMillis());
		long keys = StreamOrigins.LIFETIME_MILLIS / slotMillis + 2;
		long slot = this.wall.millis() / slotMillis;
		if (slot != this.lastSlot) {
			this.lastBatch.clear();
		}
		this.lastSlot = slot;
		this.lastBatch.addAll(unsaved);
		this.store
			.append(StoreTopic.STREAMS, this.fleet.self() + "/" + slot % keys,
					Optional.of(encode(this.wall.millis(), this.lastBatch)))
			.whenComplete((done, failure) -> {
				if (failure != null) {
					this.origins.recordUnsaved(unsaved);
					this.log.write(LogLine.of(GatewayEvent.ORIGINS_UNSAVED)
						.with("streams", unsaved.size())
						.with("reason", String.valueOf(failure)));
				}
			});
	}

	@Override
	public CompletableFuture<OptionalLong> find(String service, String request) {
		observeVersions();
		OptionalLong known = this.origins.version(request);
		boolean noOtherUnnoticed = viewCurrent() || this.fleet.storeLostByAll();
		if (known.isEmpty() && noOtherUnnoticed) {
			known = this.origins.onlyVersion(service, this.clock.millis());
		}
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(known);
		}
		Lookup lookup = new Lookup(service, request, new CompletableFuture<>(), false);
		await(lookup);
		return lookup.version();
	}

	@Override
	public boolean firstContinuation(String request) {
		return this.origins.firstContinuation(request);
	}

	private boolean viewCurrent() {
		return this.fleet.viewAgeMillis() <= MAX_VIEW_AGE_MILLIS;
	}

	private void await(Lookup lookup) {
		this.waiting.add(lookup);
		if (!this.reading) {
			this.reading = true;
			read();
		}
	}

	private void read() {
		List<Lookup> lookups = this.waiting;
		this.waiting = new ArrayList<>();
		boolean whole = this.next < 0;
		CompletableFuture<StoreBatch> answer = whole ? this.store.newest(StoreTopic.STREAMS)
				: this.store.readNow(StoreTopic.STREAMS, this.next);
		answer.whenComplete((batch, failure) -> {
			boolean readAnew = failure != null || (!whole && batch.era() != this.era);
			this.next = readAnew ? -1 : batch.next();
			if (readAnew && !whole) {
				this.waiting.addAll(lookups);
			}
			else if (readAnew) {
				lookups.forEach((lookup) -> lookup.version().complete(OptionalLong.empty()));
			}
			else {
				this.era = batch.era();
				batch.records().forEach(this::apply);
				lookups.forEach(this::answer);
			}
			this.loop.schedule(this::readOn, READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	private void readOn() {
		this.reading = !this.waiting.isEmpty();
		if (this.reading) {
			read();
		}
	}

	private void answer(Lookup lookup) {
		OptionalLong known = this.origins.version(lookup.request());
		if (known.isEmpty() && viewCurrent()) {
			known = this.origins.onlyVersionSeen(lookup.service(), this.clock.millis());
		}
		if (known.isPresent() || lookup.repeated()) {
			lookup.version().complete(known);
			return;
		}
		this.loop.schedule(() -> await(lookup.again()), saveDelayMillis() + SAVE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void apply(StoreRecord record) {
		record.value().ifPresent((value) -> {
			ByteBuffer bytes = ByteBuffer.wrap(value);
			if (bytes.remaining() % ORIGIN_BYTES != Long.BYTES) {
				this.log.write(LogLine.of(GatewayEvent.UNREADABLE_RECORD).with("key", record.key()));
				return;
			}
			long savedAt = bytes.getLong();
			boolean recent = this.wall.millis() - savedAt < StreamOrigins.LIFETIME_MILLIS + CLOCK_TOLERANCE_MILLIS;
			while (recent && bytes.hasRemaining()) {
				this.origins.recordSaved(new StreamOrigin(bytes.getLong(), bytes.getLong(), bytes.getLong()), savedAt,
						this.clock.millis());
			}
		});
	}

	private static byte[] encode(long savedAt, List<StreamOrigin> origins) {
		ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES + origins.size() * ORIGIN_BYTES).putLong(savedAt);
		origins
			.forEach((origin) -> bytes.putLong(origin.service()).putLong(origin.request()).putLong(origin.version()));
		return bytes.array();
	}

	/**
	 * What a gateway knows of the fleet.
	 */
	interface Fleet {

		/**
		 * Returns the name of this gateway.
		 * @return the name, which stays the same over restarts
		 */
		String self();

		/**
		 * Returns the number of gateways that may be alive.
		 * @return the number, this one included
		 */
		int gatewayCount();

		/**
		 * Returns the upstreams in service.
		 * @return the upstreams, those that are about to leave included
		 */
		List<UpstreamEntry> upstreams();

		/**
		 * Returns the age of the list of upstreams.
		 * @return the age in milliseconds
		 */
		long viewAgeMillis();

		/**
		 * Returns whether no gateway has reached the store of late, so that none knows
		 * more than this one.
		 * @return {@code false} if one has, or may have
		 */
		boolean storeLostByAll();

	}

	/**
	 * A lookup of a stream.
	 *
	 * @param service the name of the service
	 * @param request the request that began the stream
	 * @param version completes with the hash of the version
	 * @param repeated whether the origin was not found before, so that it is not about to
	 * be saved
	 */
	private record Lookup(String service, String request, CompletableFuture<OptionalLong> version, boolean repeated) {

		Lookup again() {
			return new Lookup(this.service, this.request, this.version, true);
		}

	}

}
