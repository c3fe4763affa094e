package org.ebonyford.gateway.store;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.freshness.Freshness;
import org.ebonyford.gateway.http.HttpCalls;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against changes that come into force late at gateways whose relay has lost the
 * store while they reach it.
 */
public class RelayWithoutStoreTest {

	/**
	 * The time in milliseconds within which a change must be in force.
	 */
	private static final long IN_FORCE_MILLIS = 2_000;

	/**
	 * The interval in milliseconds between readers, whose reads are at different stages
	 * when the relay loses the store.
	 */
	private static final long STAGGER_MILLIS = 25;

	private static final int READERS = 40;

	private static final long FIRST_OFFSET = 10;

	private final Clock clock = Clock.ForSystem.INSTANCE;

	private final TopicCache cache = new TopicCache((before, after) -> false);

	private final List<Reader> readers = new ArrayList<>();

	private NioEventLoopGroup group;

	private InetSocketAddress relay;

	private volatile long lostAt;

	private volatile long relayCycleMillis;

	private AtomicInteger relayFailures;

	@BeforeMethod
	public void start() {
		this.lostAt = Long.MAX_VALUE;
		this.relayCycleMillis = 0;
		this.relayFailures = new AtomicInteger();
		this.group = new NioEventLoopGroup(1);
		this.cache.reset(new StoreBatch(List.of(), FIRST_OFFSET));
		this.relay = (InetSocketAddress) new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new RelayServer((topic) -> new Source()))
			.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.syncUninterruptibly()
			.channel()
			.localAddress();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.readers.clear();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@DataProvider
	public Object[][] plans() {
		return new Object[][] { { new StoreFeed.Plan(StoreTopic.OPERATOR, 600, 0) },
				{ new StoreFeed.Plan(StoreTopic.UPSTREAMS, 0, 350) } };
	}

	@Test(dataProvider = "plans")
	public void testChangeIsReadInTimeThoughTheRelayHasLostTheStore(StoreFeed.Plan plan) throws Exception {
		for (int index = 0; index < READERS; index++) {
			Reader reader = new Reader(plan);
			this.readers.add(reader);
			this.group.next().schedule(reader.feed::readNow, index * STAGGER_MILLIS, TimeUnit.MILLISECONDS);
		}
		TimeUnit.MILLISECONDS.sleep(2 * READERS * STAGGER_MILLIS);
		this.lostAt = this.clock.millis();
		List<Long> delays = new ArrayList<>();
		for (Reader reader : this.readers) {
			delays.add(reader.changeReadAt.get(2 * IN_FORCE_MILLIS, TimeUnit.MILLISECONDS) - this.lostAt);
		}
		assertTrue(delays.stream().allMatch((delay) -> delay < IN_FORCE_MILLIS), "Milliseconds: " + delays);
	}

	/**
	 * How a topic is read, and the time in milliseconds that a read of the relay takes
	 * with the pause after it.
	 */
	@DataProvider
	public Object[][] cycles() {
		return new Object[][] { { new StoreFeed.Plan(StoreTopic.OPERATOR, 600, 0), 620 },
				{ new StoreFeed.Plan(StoreTopic.UPSTREAMS, 0, 350), 370 } };
	}

	@Test(dataProvider = "cycles")
	public void testStoreIsLeftToTheRelayWhileItReadsIt(StoreFeed.Plan plan, long cycleMillis) throws Exception {
		this.relayCycleMillis = cycleMillis;
		for (int index = 0; index < READERS; index++) {
			Reader reader = new Reader(plan);
			this.readers.add(reader);
			this.group.next().schedule(reader.feed::readNow, index * STAGGER_MILLIS, TimeUnit.MILLISECONDS);
		}
		TimeUnit.MILLISECONDS.sleep(4 * READERS * STAGGER_MILLIS);
		assertEquals(this.relayFailures.get(), 0);
	}

	/**
	 * A relay that reads the store until it loses it. Its records are as old as the read
	 * before the one that is under way.
	 */
	private final class Source implements RelayServer.Source {

		@Override
		public TopicCache cache() {
			return RelayWithoutStoreTest.this.cache;
		}

		@Override
		public long ageMillis() {
			RelayWithoutStoreTest test = RelayWithoutStoreTest.this;
			long now = test.clock.millis();
			long sound = (test.relayCycleMillis == 0) ? 0 : test.relayCycleMillis + now % test.relayCycleMillis;
			return sound + Math.max(now - test.lostAt, 0);
		}

	}

	/**
	 * A gateway that reads through the relay. The store has a change from the moment at
	 * which the relay loses it.
	 */
	private final class Reader implements MetadataStore, StoreFeed.Listener {

		private final CompletableFuture<Long> changeReadAt = new CompletableFuture<>();

		private final StoreFeed feed;

		Reader(StoreFeed.Plan plan) {
			RelayWithoutStoreTest test = RelayWithoutStoreTest.this;
			AtomicInteger failures = test.relayFailures;
			this.feed = new StoreFeed(test.group.next(),
					new RelayedStore(this, new HttpCalls(test.group.next(), Clock.ForSystem.INSTANCE),
							() -> Optional.of(test.relay), (topic, relay, cause) -> failures.incrementAndGet()),
					plan, new Freshness(test.clock, test.clock), new TopicCache((before, after) -> false), this);
		}

		private CompletableFuture<StoreBatch> unchanged() {
			return CompletableFuture.completedFuture(new StoreBatch(List.of(), FIRST_OFFSET));
		}

		@Override
		public CompletableFuture<StoreBatch> newest(StoreTopic topic) {
			return unchanged();
		}

		@Override
		public CompletableFuture<StoreBatch> read(StoreTopic topic, long from, long waitMillis) {
			StoreRecord change = new StoreRecord("change", Optional.empty());
			return (RelayWithoutStoreTest.this.clock.millis() < RelayWithoutStoreTest.this.lostAt) ? unchanged()
					: CompletableFuture.completedFuture(new StoreBatch(List.of(change), FIRST_OFFSET + 1));
		}

		@Override
		public CompletableFuture<Void> append(StoreTopic topic, String key, Optional<byte[]> value) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void newest(StoreBatch batch) {
		}

		@Override
		public void restored(StoreBatch batch) {
		}

		@Override
		public void record(StoreRecord record) {
			this.changeReadAt.complete(RelayWithoutStoreTest.this.clock.millis());
			this.feed.close();
		}

		@Override
		public void answered() {
		}

		@Override
		public void forgotten(long from) {
		}

		@Override
		public void failed(Throwable cause) {
		}

	}

}
