package org.ebonyford.claim;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link HandOver}.
 */
public class HandOverTest {

	private static final VmId SELF = new VmId("b");

	private static final VmId FIRST = new VmId("a");

	private static final long LIMIT = 250;

	private static final ClaimRecord CLAIM = new ClaimRecord(Kind.CLAIM, "b-1-0", new OrganisationId("o"),
			new IdempotencyKey("k"), new Fingerprint("f"), new Incarnation(SELF, 1), 7, Optional.empty());

	private HandOver handOver;

	@BeforeMethod
	public void create() {
		this.handOver = new HandOver(SELF, LIMIT);
		this.handOver.order(List.of(FIRST, SELF, new VmId("c")));
	}

	@Test
	public void testFirstRouterIsAsked() {
		assertEquals(this.handOver.writer(0), Optional.of(FIRST));
	}

	@Test
	public void testProcessThatIsFirstAsksNobody() {
		this.handOver.order(List.of(SELF, FIRST));
		assertEquals(this.handOver.writer(0), Optional.empty());
	}

	@Test
	public void testStatementThatIsNotReadInTimeComesBackAndItsWriterIsDoubted() {
		this.handOver.handed(0, FIRST, List.of(CLAIM));
		assertEquals(this.handOver.overdue(LIMIT - 1), List.of());
		assertEquals(this.handOver.overdue(LIMIT), List.of(CLAIM));
		assertEquals(this.handOver.writer(LIMIT), Optional.empty());
		assertEquals(this.handOver.writer(LIMIT + 1_000), Optional.of(FIRST));
	}

	@Test
	public void testDoubtGrowsWithEachFailure() {
		fail(0);
		fail(1_000);
		assertEquals(this.handOver.writer(2_999), Optional.empty());
		assertEquals(this.handOver.writer(3_000), Optional.of(FIRST));
	}

	@Test
	public void testStatementThatIsReadAfterTheDoubtMakesTheNextFailureTheFirst() {
		fail(0);
		this.handOver.handed(1_000, FIRST, List.of(CLAIM));
		this.handOver.read(1_000, CLAIM);
		fail(1_000);
		assertEquals(this.handOver.writer(2_000), Optional.of(FIRST));
	}

	@Test
	public void testStatementThatIsReadLateDoesNotEndTheDoubt() {
		this.handOver.handed(0, FIRST, List.of(CLAIM));
		this.handOver.handed(100, FIRST, List.of(CLAIM.renewed(8)));
		this.handOver.overdue(LIMIT);
		this.handOver.read(LIMIT + 1, CLAIM.renewed(8));
		assertEquals(this.handOver.writer(LIMIT + 1), Optional.empty());
		assertEquals(this.handOver.size(), 0);
	}

	@Test
	public void testRouterThatIsHeardOfAnewIsAskedAgain() {
		fail(0);
		this.handOver.heard(FIRST);
		assertEquals(this.handOver.writer(0), Optional.of(FIRST));
	}

	@Test
	public void testDeclinedStatementsComeBackAndOthersDoNot() {
		ClaimRecord other = new ClaimRecord(Kind.CLAIM, "b-1-1", CLAIM.organisation(), CLAIM.key(), CLAIM.fingerprint(),
				CLAIM.holder(), 7, Optional.empty());
		this.handOver.handed(0, FIRST, List.of(CLAIM, other));
		assertEquals(this.handOver.declined(0, FIRST, List.of("b-1-1")), List.of(other));
		assertEquals(this.handOver.size(), 1);
	}

	@Test
	public void testClaimThatIsWithdrawnDoesNotComeBack() {
		this.handOver.handed(0, FIRST, List.of(CLAIM));
		this.handOver.withdraw(CLAIM);
		assertEquals(this.handOver.overdue(LIMIT), List.of());
	}

	private void fail(long now) {
		this.handOver.handed(now, FIRST, List.of(CLAIM));
		this.handOver.lost(now, FIRST);
	}

}
