package org.ebonyford.gateway.store;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.gateway.http.HttpCalls;
import org.ebonyford.time.Clock;

import static org.testng.Assert.assertEquals;

/**
 * Reads a topic through a relay on loopback, and from the store where the relay does not
 * help.
 */
public class RelayedStoreTest {

	private final AtomicInteger directReads = new AtomicInteger();

	private final AtomicLong directWait = new AtomicLong();

	private final AtomicInteger relayFailures = new AtomicInteger();

	private final AtomicLong relayAge = new AtomicLong();

	private final TopicCache cache = new TopicCache((before, after) -> false);

	private NioEventLoopGroup group;

	private Channel listener;

	private RelayedStore store;

	@BeforeMethod
	public void start() {
		this.group = new NioEventLoopGroup(1);
		this.directReads.set(0);
		this.relayFailures.set(0);
		this.relayAge.set(30);
		this.cache.reset(new StoreBatch(List.of(record("old")), 10));
		this.cache.add(new StoreBatch(List.of(record("new")), 11));
		this.listener = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new RelayServer((topic) -> new Source()))
			.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.syncUninterruptibly()
			.channel();
		InetSocketAddress address = (InetSocketAddress) this.listener.localAddress();
		this.store = new RelayedStore(new Direct(), new HttpCalls(this.group.next(), Clock.ForSystem.INSTANCE),
				() -> Optional.of(address), (topic, relay, cause) -> this.relayFailures.incrementAndGet());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void testRecordsComeThroughTheRelayWithTheirAge() {
		StoreBatch batch = this.store.read(StoreTopic.OPERATOR, 10, 0).join();
		assertEquals(batch.records().get(0).key(), "new");
		assertEquals(batch.next(), 11);
		assertEquals(batch.ageMillis(), 30);
		assertEquals(this.directReads.get(), 0);
	}

	@Test
	public void testRelayOfAnEarlierEraIsNotBelieved() {
		this.cache.reset(new StoreBatch(List.of(record("restored")), 5).ofEra(1));
		assertEquals(this.store.read(StoreTopic.OPERATOR, 10, 0).join().era(), 1);
		this.cache.reset(new StoreBatch(List.of(record("old")), 10));
		assertEquals(this.store.read(StoreTopic.OPERATOR, 10, 0).join().records().get(0).key(), "direct");
		assertEquals(this.directReads.get(), 1);
	}

	@Test
	public void testRelayAnswersWhenARecordComes() {
		CompletableFuture<StoreBatch> answer = this.store.read(StoreTopic.OPERATOR, 11, 5_000);
		this.group.next()
			.schedule(() -> this.cache.add(new StoreBatch(List.of(record("later")), 12)), 100, TimeUnit.MILLISECONDS);
		assertEquals(answer.orTimeout(3, TimeUnit.SECONDS).join().records().get(0).key(), "later");
	}

	@Test
	public void testStoreIsReadWhereTheRelayHasLostIt() {
		this.relayAge.set(60_000);
		assertEquals(this.store.read(StoreTopic.OPERATOR, 10, 0).join().records().get(0).key(), "direct");
	}

	@Test
	public void testStoreIsNotPolledInALoopWhileTheRelayRefusesConnections() {
		this.listener.close().syncUninterruptibly();
		this.store.read(StoreTopic.OPERATOR, 10, 600).join();
		assertEquals(this.directWait.get(), 600);
	}

	@Test
	public void testFailingRelayIsReportedOnceUntilItSucceeds() {
		for (long age : List.of(30L, 60_000L, 60_000L, 30L, 60_000L)) {
			this.relayAge.set(age);
			this.store.read(StoreTopic.OPERATOR, 10, 0).join();
		}
		assertEquals(this.relayFailures.get(), 2);
	}

	@Test
	public void testStoreIsReadWhereTheRelayDoesNotReachBack() {
		assertEquals(this.store.read(StoreTopic.OPERATOR, 9, 0).join().records().get(0).key(), "direct");
	}

	@Test
	public void testStoreIsReadWhereTheRelayMissesRecordsWhileAPeerWaits() {
		CompletableFuture<StoreBatch> answer = this.store.read(StoreTopic.OPERATOR, 11, 5_000);
		this.group.next()
			.schedule(() -> this.cache.reset(new StoreBatch(List.of(record("kept")), 14)), 100, TimeUnit.MILLISECONDS);
		assertEquals(answer.orTimeout(3, TimeUnit.SECONDS).join().records().get(0).key(), "direct");
		assertEquals(this.directReads.get(), 1);
	}

	@Test
	public void testStoreIsReadWhereTheRelayIsGone() {
		this.listener.close().syncUninterruptibly();
		assertEquals(this.store.read(StoreTopic.OPERATOR, 10, 0).join().records().get(0).key(), "direct");
	}

	private static StoreRecord record(String key) {
		return new StoreRecord(key, Optional.of(new byte[] { 1 }));
	}

	private final class Source implements RelayServer.Source {

		@Override
		public TopicCache cache() {
			return RelayedStoreTest.this.cache;
		}

		@Override
		public long ageMillis() {
			return RelayedStoreTest.this.relayAge.get();
		}

	}

	private final class Direct implements MetadataStore {

		@Override
		public CompletableFuture<StoreBatch> newest(StoreTopic topic) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<StoreBatch> read(StoreTopic topic, long from, long waitMillis) {
			RelayedStoreTest.this.directReads.incrementAndGet();
			RelayedStoreTest.this.directWait.set(waitMillis);
			return CompletableFuture.completedFuture(new StoreBatch(List.of(record("direct")), 20));
		}

		@Override
		public CompletableFuture<Void> append(StoreTopic topic, String key, Optional<byte[]> value) {
			throw new UnsupportedOperationException();
		}

	}

}
