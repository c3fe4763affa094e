package org.ebonyford.fairness;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage.Service;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ServiceLedger}.
 */
public class ServiceLedgerTest {

	private static final PoolId POOL = new PoolId("pool");

	private static final Incarnation SELF = new Incarnation(new VmId("vm-0"), 1);

	private static final Incarnation PEER = new Incarnation(new VmId("vm-1"), 1);

	private ServiceLedger ledger;

	private Account one;

	private Account two;

	@BeforeMethod
	public void create() {
		this.ledger = new ServiceLedger(SELF, 1_000, () -> CostEstimate.OfHint.INSTANCE);
		this.ledger.informed();
		this.one = this.ledger.account(new OrganisationId("one"));
		this.two = this.ledger.account(new OrganisationId("two"));
	}

	@Test
	public void testMessagesMayComeTwiceLateAndInAnyOrder() {
		qt().forAll(integers().between(0, 1_000_000)).check((seed) -> {
			List<Service> messages = new ArrayList<>();
			for (int step = 1; step <= 10; step++) {
				messages.add(service("one", step * 10, step, 0, false));
			}
			messages.addAll(messages.subList(0, 5));
			Collections.shuffle(messages, new Random(seed));
			ServiceLedger shuffled = new ServiceLedger(SELF, 1_000, () -> CostEstimate.OfHint.INSTANCE);
			messages.forEach((message) -> shuffled.received(0, PEER.vm(), message));
			return shuffled.account(new OrganisationId("one")).service() == 90;
		});
	}

	@Test
	public void testLeastServedForItsWeightIsNext() {
		this.ledger.weights((organisation) -> organisation.value().equals("two") ? 3 : 1);
		backlog(0);
		this.ledger.charge(this.one, 100);
		this.ledger.charge(this.two, 200);
		assertEquals(this.ledger.next().orElseThrow(), this.two);
		this.ledger.charge(this.two, 200);
		assertEquals(this.ledger.next().orElseThrow(), this.one);
	}

	@Test
	public void testRefundCountsBack() {
		backlog(0);
		this.ledger.charge(this.one, 100);
		this.ledger.refund(this.one, 90);
		this.ledger.charge(this.two, 20);
		assertEquals(this.ledger.next().orElseThrow(), this.one);
	}

	@Test
	public void testOrganisationThatReturnsFromIdleIsLiftedToTheLeastBackloggedOne() {
		this.ledger.waiting(0, this.one, true);
		this.ledger.charge(this.one, 500);
		this.ledger.waiting(5_000, this.two, true);
		assertEquals(this.two.virtualService(), this.one.virtualService());
	}

	@Test
	public void testShortIdleTimeLiftsNothing() {
		backlog(0);
		this.ledger.waiting(100, this.two, false);
		this.ledger.charge(this.one, 500);
		this.ledger.waiting(900, this.two, true);
		assertEquals(this.two.virtualService(), 0);
	}

	@Test
	public void testOrganisationBackloggedElsewhereIsNotIdle() {
		this.ledger.received(0, PEER.vm(), service("two", 1, 0, 0, true));
		this.ledger.waiting(0, this.one, true);
		this.ledger.charge(this.one, 500);
		long before = this.two.virtualService();
		this.ledger.waiting(5_000, this.two, true);
		assertEquals(this.two.virtualService(), before);
	}

	@Test
	public void testDebtIsCapped() {
		this.ledger.debtCap(100);
		backlog(0);
		this.ledger.charge(this.one, 1_000);
		assertEquals(this.ledger.next().orElseThrow(), this.two);
		assertEquals(this.one.virtualService() - this.two.virtualService(), 100 * Account.SCALE);
	}

	@Test
	public void testUnseenChargesOfOthersAreEstimated() {
		backlog(0);
		this.ledger.charge(this.one, 10);
		this.ledger.roll(6);
		assertTrue(this.one.place() > this.one.virtualService());
		this.ledger.roll(6);
		assertEquals(this.one.place(), (double) this.one.virtualService());
	}

	@Test
	public void testChangesAreToldOnce() {
		this.ledger.charge(this.one, 10);
		assertEquals(this.ledger.drainChanges().size(), 1);
		assertTrue(this.ledger.drainChanges().isEmpty());
	}

	private void backlog(long now) {
		this.ledger.waiting(now, this.one, true);
		this.ledger.waiting(now, this.two, true);
	}

	private static Service service(String organisation, long charged, long refunded, long lift, boolean backlogged) {
		return new Service(PEER, POOL,
				List.of(new Service.Row(new OrganisationId(organisation), charged, refunded, lift, backlogged)));
	}

}
