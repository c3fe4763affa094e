package org.ebonyford.claim;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;
import org.ebonyford.request.StoredAnswer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ClaimTable}.
 */
public class ClaimTableTest {

	private static final long WINDOW = 100;

	private static final int MAX_CHARACTERS = 8;

	@Test
	public void testRanOutweighsUnknownInAnyOrder() {
		List<ClaimRecord> ends = List.of(record(Kind.UNKNOWN, "a", 0), record(Kind.RAN, "a", 0));
		assertEquals(statement(fold(ends)), ends.get(1));
		assertEquals(statement(fold(List.of(ends.get(1), ends.get(0)))), ends.get(1));
	}

	@Test
	public void testFinalStatementOutweighsAClaimInAnyOrder() {
		List<ClaimRecord> records = List.of(record(Kind.CLAIM, "b", WINDOW), record(Kind.UNKNOWN, "a", 0));
		assertEquals(statement(fold(records)), records.get(1));
		assertEquals(statement(fold(List.of(records.get(1), records.get(0)))), records.get(1));
	}

	@Test
	public void testKeyIsFreeAfterItsWindow() {
		ClaimRecord claim = record(Kind.CLAIM, "b", WINDOW + 1);
		assertEquals(statement(fold(List.of(record(Kind.RAN, "a", 0), claim))), claim);
		assertEquals(statement(fold(List.of(claim, record(Kind.RAN, "a", 0)))), claim);
	}

	@Test
	public void testLaterClaimsEndStands() {
		ClaimRecord later = record(Kind.UNKNOWN, "b", WINDOW + 1);
		assertEquals(statement(fold(List.of(record(Kind.RAN, "a", 0), later))), later);
		assertEquals(statement(fold(List.of(later, record(Kind.RAN, "a", 0)))), later);
	}

	@Test
	public void testClaimThatLostHoldsNothingAfterARelease() {
		ClaimTable table = fold(
				List.of(record(Kind.CLAIM, "a", 0), record(Kind.CLAIM, "b", 0), record(Kind.RELEASE, "a", 0)));
		assertEquals(table.size(), 0);
		assertEquals(table.size(new OrganisationId("o")), 0);
	}

	@Test
	public void testOldestAnswersAreForgotten() {
		ClaimTable table = new ClaimTable(WINDOW, MAX_CHARACTERS);
		IntStream.range(0, 3).forEach((key) -> table.apply(record(Kind.RAN, "k" + key, "c" + key, 0), 0));
		assertTrue(table.find(key("k0")).orElseThrow().statement().answer().isEmpty());
		assertTrue(table.find(key("k2")).orElseThrow().statement().answer().isPresent());
		assertEquals(table.size(), 3);
	}

	private static ClaimTable fold(List<ClaimRecord> records) {
		ClaimTable table = new ClaimTable(WINDOW, MAX_CHARACTERS);
		records.forEach((record) -> table.apply(record, 0));
		return table;
	}

	private static ClaimRecord statement(ClaimTable table) {
		return table.oldest().orElseThrow().statement();
	}

	private static ClaimKey key(String key) {
		return new ClaimKey(new OrganisationId("o"), new IdempotencyKey(key));
	}

	private static ClaimRecord record(Kind kind, String claim, long createdAt) {
		return record(kind, "k", claim, createdAt);
	}

	private static ClaimRecord record(Kind kind, String key, String claim, long createdAt) {
		return new ClaimRecord(kind, claim, new OrganisationId("o"), new IdempotencyKey(key), new Fingerprint("f"),
				new Incarnation(new VmId("vm"), 1), createdAt,
				(kind == Kind.RAN) ? Optional.of(new StoredAnswer(200, "text/plain", "done")) : Optional.empty());
	}

}
