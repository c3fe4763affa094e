package org.ebonyford.gateway.store;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class TopicCacheTest {

	private final TopicCache cache = new TopicCache((before, after) -> before.value().isPresent()
			&& after.value().isPresent() && Arrays.equals(before.value().get(), after.value().get()));

	@Test
	public void testPeersThatWaitLearnOfANewEra() {
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 10));
		CompletableFuture<StoreBatch> answer = this.cache.read(10);
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 8).ofEra(1));
		assertEquals(answer.getNow(new StoreBatch(List.of(), 0)).era(), 1);
	}

	/**
	 * The deleted records may hold a removal that the waiting peer has not read.
	 */
	@Test
	public void testPeerThatWaitsBeforeDeletedRecordsIsNotAnswered() {
		this.cache.reset(new StoreBatch(List.of(record("a", "1"), record("b", "1")), 10));
		CompletableFuture<StoreBatch> behind = this.cache.read(10);
		CompletableFuture<StoreBatch> current = this.cache.read(12);
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 12));
		assertTrue(behind.isCompletedExceptionally());
		assertFalse(current.isDone());
		this.cache.add(new StoreBatch(List.of(record("c", "1")), 13));
		assertEquals(keys(current.join()), "c");
	}

	@Test
	public void testPeersReadOnFromTheirOffset() {
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 10));
		this.cache.add(new StoreBatch(List.of(record("b", "1"), record("a", "2")), 12));
		assertEquals(keys(this.cache.since(10)), "ba");
		assertEquals(keys(this.cache.since(11)), "a");
		assertEquals(keys(this.cache.since(12)), "");
		assertEquals(this.cache.since(10).next(), 12);
	}

	/**
	 * A batch from another relay leaves out repeated entries, so it does not tell which
	 * offsets its records have.
	 */
	@Test
	public void testPeerInsideARelayedBatchGetsItsRecords() {
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 10));
		this.cache.add(new StoreBatch(List.of(record("b", "1"), new StoreRecord("a", Optional.empty())), 20));
		assertEquals(keys(this.cache.since(15)), "ba");
		assertEquals(keys(this.cache.since(20)), "");
	}

	/**
	 * The peer has read the removal that lies between two equal entries.
	 */
	@Test
	public void testPeerInsideARelayedBatchLearnsOfAnEntryThatCameBack() {
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 10));
		this.cache.add(new StoreBatch(List.of(record("a", "1")), 20));
		assertEquals(keys(this.cache.since(15)), "a");
	}

	@Test
	public void testWhatWasRemovedBeforeTheStartIsNotKnown() {
		assertFalse(this.cache.reaches(0));
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 10));
		assertFalse(this.cache.reaches(9));
		assertTrue(this.cache.reaches(10));
	}

	@Test
	public void testRemovalIsPassedOn() {
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 10));
		this.cache.add(new StoreBatch(List.of(new StoreRecord("a", Optional.empty())), 11));
		assertEquals(this.cache.since(10).records().get(0).value(), Optional.empty());
		this.cache.add(new StoreBatch(List.of(record("a", "1")), 12));
		assertEquals(keys(this.cache.since(11)), "a", "what comes back says something new");
	}

	@Test
	public void testRepeatedEntryWakesNobody() {
		this.cache.reset(new StoreBatch(List.of(record("a", "1")), 10));
		CompletableFuture<StoreBatch> waiting = this.cache.read(10);
		this.cache.add(new StoreBatch(List.of(record("a", "1")), 11));
		assertFalse(waiting.isDone());
		this.cache.add(new StoreBatch(List.of(record("a", "2")), 12));
		assertEquals(keys(waiting.join()), "a");
		assertEquals(waiting.join().next(), 12);
	}

	@Test
	public void testBatchSurvivesItsEncoding() {
		StoreBatch batch = new StoreBatch(List.of(record("a", "x"), new StoreRecord("b", Optional.empty())), 7, 120);
		StoreBatch read = RelayCodec.decode(RelayCodec.encode(batch));
		assertEquals(keys(read), "ab");
		assertEquals(read.next(), 7);
		assertEquals(read.ageMillis(), 120);
		assertEquals(read.records().get(1).value(), Optional.empty());
	}

	@Test(expectedExceptions = StoreException.class)
	public void testDamagedAnswerIsNotTaken() {
		byte[] bytes = RelayCodec.encode(new StoreBatch(List.of(record("a", "x")), 7));
		RelayCodec.decode(Arrays.copyOf(bytes, bytes.length - 3));
	}

	private static StoreRecord record(String key, String value) {
		return new StoreRecord(key, Optional.of(value.getBytes()));
	}

	private static String keys(StoreBatch batch) {
		StringBuilder keys = new StringBuilder();
		batch.records().forEach((record) -> keys.append(record.key()));
		return keys.toString();
	}

}
