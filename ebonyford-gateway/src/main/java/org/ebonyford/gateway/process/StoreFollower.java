package org.ebonyford.gateway.process;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.util.concurrent.EventExecutor;

import org.ebonyford.freshness.Freshness;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.RelayServer;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreFeed;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.store.StoreTopic;
import org.ebonyford.gateway.store.TopicCache;

/**
 * Follows the topics of the store, passes their records to the store view and the
 * peering, and tracks whether the store answers.
 */
final class StoreFollower {

	/**
	 * Long-poll wait in milliseconds for an operator record. Together with the duration
	 * of a call it bounds the age of the configuration.
	 */
	private static final long OPERATOR_LONG_POLL_MILLIS = 600;

	/**
	 * Pause in milliseconds between two reads of the upstream entries: short compared
	 * with the two seconds within which a draining upstream must stop getting requests.
	 */
	private static final long UPSTREAMS_POLL_PAUSE_MILLIS = 350;

	/**
	 * Long-poll wait in milliseconds for the announcement of a gateway.
	 */
	private static final long GATEWAYS_LONG_POLL_MILLIS = 5_000;

	/**
	 * The event loop.
	 */
	private final EventExecutor loop;

	/**
	 * The store.
	 */
	private final MetadataStore store;

	/**
	 * The view that the operator and upstream records update.
	 */
	private final StoreView storeView;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * The feeds by topic.
	 */
	private final Map<StoreTopic, StoreFeed> feeds = new EnumMap<>(StoreTopic.class);

	/**
	 * Creates the record of a feed's age.
	 */
	private final Supplier<Freshness> ageFactory;

	/**
	 * Stands for the topics that are not followed.
	 */
	private final RelayServer.Source notFollowed = new NotFollowed();

	/**
	 * Whether the last call succeeded, empty before the first.
	 */
	private Optional<Boolean> storeAnswers = Optional.empty();

	StoreFollower(EventExecutor loop, MetadataStore store, Freshness operatorAge, Supplier<Freshness> ageFactory,
			StoreView storeView, Peering peering, EventLog log) {
		this.loop = loop;
		this.store = store;
		this.storeView = storeView;
		this.log = log;
		this.ageFactory = ageFactory;
		addFeed(new StoreFeed.Plan(StoreTopic.OPERATOR, OPERATOR_LONG_POLL_MILLIS, 0), operatorAge,
				new FeedListener(StoreTopic.OPERATOR, storeView::applyOperatorSnapshot,
						storeView::applyRestoredOperatorRecords, storeView::applyOperatorRecord));
		addFeed(new StoreFeed.Plan(StoreTopic.UPSTREAMS, 0, UPSTREAMS_POLL_PAUSE_MILLIS), ageFactory.get(),
				new FeedListener(StoreTopic.UPSTREAMS, storeView::applyUpstreamSnapshot,
						storeView::applyRestoredUpstreams, storeView::applyUpstreamRecord));
		addFeed(new StoreFeed.Plan(StoreTopic.GATEWAYS, GATEWAYS_LONG_POLL_MILLIS, 0), ageFactory.get(),
				new FeedListener(StoreTopic.GATEWAYS, peering::applyAnnouncements, peering::applyRestoredAnnouncements,
						peering::applyAnnouncement));
	}

	/**
	 * Starts or stops following a topic that is not always needed.
	 * @param topic the topic
	 * @param wanted whether to follow it
	 * @param listener receives its records
	 */
	void follow(StoreTopic topic, boolean wanted, TopicListener listener) {
		if (wanted && !this.feeds.containsKey(topic)) {
			addFeed(new StoreFeed.Plan(topic, OPERATOR_LONG_POLL_MILLIS, 0), this.ageFactory.get(),
					new FeedListener(topic, listener::newest, listener::newest, listener::record));
			this.feeds.get(topic).readNow();
		}
		else if (!wanted && this.feeds.containsKey(topic)) {
			this.feeds.remove(topic).close();
		}
	}

	/**
	 * Returns the age of a topic's records.
	 * @param topic the topic
	 * @return the age in milliseconds, 0 if the topic is not followed
	 */
	long ageMillis(StoreTopic topic) {
		StoreFeed feed = this.feeds.get(topic);
		return (feed != null) ? feed.ageMillis() : 0;
	}

	private void addFeed(StoreFeed.Plan plan, Freshness age, StoreFeed.Listener listener) {
		TopicCache cache = new TopicCache(
				(before, after) -> plan.topic() == StoreTopic.UPSTREAMS && this.storeView.sameEntry(before, after));
		this.feeds.put(plan.topic(), new StoreFeed(this.loop, this.store, plan, age, cache, listener));
	}

	/**
	 * Reads all topics at once.
	 */
	void readNow() {
		this.feeds.values().forEach(StoreFeed::readNow);
	}

	/**
	 * Stops reading.
	 */
	void close() {
		this.feeds.values().forEach(StoreFeed::close);
	}

	/**
	 * Returns the records of a topic, to be relayed to peers.
	 * @param topic the topic
	 * @return the records and their age
	 */
	RelayServer.Source source(StoreTopic topic) {
		StoreFeed feed = this.feeds.get(topic);
		return (feed != null) ? feed : this.notFollowed;
	}

	/**
	 * Returns the age of the older one of the configuration and the list of upstreams.
	 * @return the age in milliseconds, {@link Freshness#UNKNOWN_AGE} if one is unknown
	 */
	long ageMillis() {
		return Math.max(this.feeds.get(StoreTopic.OPERATOR).ageMillis(),
				this.feeds.get(StoreTopic.UPSTREAMS).ageMillis());
	}

	/**
	 * Returns whether the store answers, directly or through a peer.
	 * @return {@code false} if the last call failed
	 */
	boolean storeAnswers() {
		return this.storeAnswers.orElse(true);
	}

	/**
	 * Receives the records of a topic.
	 */
	interface TopicListener {

		/**
		 * Takes the newest state of the topic, which may be older than what was read
		 * before if the store has come back from an older copy.
		 * @param batch the newest record of each key
		 */
		void newest(StoreBatch batch);

		/**
		 * Takes a record.
		 * @param record the record
		 */
		void record(StoreRecord record);

	}

	/**
	 * A topic that is not followed, of which peers cannot read anything.
	 */
	private static final class NotFollowed implements RelayServer.Source {

		/**
		 * Holds no records.
		 */
		private final TopicCache cache = new TopicCache((before, after) -> false);

		@Override
		public TopicCache cache() {
			return this.cache;
		}

		@Override
		public long ageMillis() {
			return Freshness.UNKNOWN_AGE;
		}

	}

	/**
	 * Passes on what a feed reads, and tracks whether the store answers.
	 */
	private final class FeedListener implements StoreFeed.Listener {

		/**
		 * The topic that the feed reads.
		 */
		private final StoreTopic topic;

		/**
		 * Applies a snapshot.
		 */
		private final Consumer<StoreBatch> newest;

		/**
		 * Applies a snapshot that may be older than what was read before.
		 */
		private final Consumer<StoreBatch> restored;

		/**
		 * Applies a record.
		 */
		private final Consumer<StoreRecord> record;

		FeedListener(StoreTopic topic, Consumer<StoreBatch> newest, Consumer<StoreBatch> restored,
				Consumer<StoreRecord> record) {
			this.topic = topic;
			this.newest = newest;
			this.restored = restored;
			this.record = record;
		}

		@Override
		public void newest(StoreBatch batch) {
			this.newest.accept(batch);
		}

		@Override
		public void restored(StoreBatch batch) {
			StoreFollower.this.log.write(LogLine.of(GatewayEvent.STORE_RESTORED).with("era", batch.era()));
			this.restored.accept(batch);
		}

		@Override
		public void record(StoreRecord read) {
			this.record.accept(read);
		}

		@Override
		public void answered() {
			if (!StoreFollower.this.storeAnswers.orElse(false)) {
				StoreFollower.this.log.write(LogLine.of(GatewayEvent.STORE_REGAINED));
				StoreFollower.this.storeView.storeRegained();
			}
			StoreFollower.this.storeAnswers = Optional.of(true);
		}

		@Override
		public void forgotten(long from) {
			StoreFollower.this.log.write(LogLine.of(GatewayEvent.RECORDS_DELETED)
				.with("topic", String.valueOf(this.topic))
				.with("from", from));
		}

		@Override
		public void failed(Throwable cause) {
			if (StoreFollower.this.storeAnswers.orElse(true)) {
				StoreFollower.this.log.write(LogLine.of(GatewayEvent.STORE_LOST).with("reason", String.valueOf(cause)));
				StoreFollower.this.storeView.storeLost();
			}
			StoreFollower.this.storeAnswers = Optional.of(false);
		}

	}

}
