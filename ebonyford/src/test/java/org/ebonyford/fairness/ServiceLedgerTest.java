package org.ebonyford.fairness;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

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
import static org.testng.Assert.assertNotEquals;
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
	public void testOwnersWithTheSameTotalsServeDifferentOrganisations() {
		assertNotEquals(nextInTurn(0, 0), nextInTurn(1, 0));
	}

	@Test
	public void testTurnGivesWayToAnOrganisationThatIsFarBehind() {
		assertEquals(nextInTurn(0, 50), nextInTurn(1, 50));
	}

	@Test
	public void testChangesAreToldOnce() {
		this.ledger.charge(this.one, 10);
		assertEquals(this.ledger.drainChanges().size(), 1);
		assertTrue(this.ledger.drainChanges().isEmpty());
	}

	@Test
	public void testTakeoverChangesNoService() {
		this.ledger.received(0, PEER.vm(), service("one", 70, 20, 0, false));
		this.ledger.charge(this.one, 5);
		this.ledger.takeOver(List.of(PEER));
		assertEquals(this.one.service(), 55);
		assertEquals(this.ledger.rows().keySet(), Set.of(SELF));
	}

	@Test
	public void testRowThatComesAfterItsTakeoverIsNotCountedAgain() {
		this.ledger.received(0, PEER.vm(), service("one", 70, 20, 0, false));
		this.ledger.takeOver(List.of(PEER));
		this.ledger.received(0, PEER.vm(), service("one", 70, 20, 0, false));
		assertEquals(this.one.service(), 50);
	}

	@Test
	public void testRowOfALaterProcessOfTheVmIsCounted() {
		this.ledger.takeOver(List.of(PEER));
		Service.Row row = new Service.Row(this.one.organisation(), 7, 0, 0, false);
		this.ledger.received(0, PEER.vm(),
				new Service(new Incarnation(PEER.vm(), PEER.number() + 1), POOL, List.of(row)));
		assertEquals(this.one.service(), 7);
	}

	@Test
	public void testProcessThatIsTakenOverWhileItLivesIsStillCounted() {
		ServiceLedger peer = new ServiceLedger(PEER, 1_000, () -> CostEstimate.OfHint.INSTANCE);
		Account account = peer.account(this.one.organisation());
		peer.charge(account, 30);
		tell(peer, this.ledger);
		this.ledger.takeOver(List.of(PEER));
		tell(this.ledger, peer);
		peer.charge(account, 4);
		tell(peer, this.ledger);
		assertEquals(account.service(), 34);
		assertEquals(this.one.service(), 34);
	}

	@Test
	public void testTakeoversAgreeWithKeepingAllRowsThroughLossRepetitionAndRestarts() {
		qt().forAll(integers().between(0, 1_000_000)).check((seed) -> new Takeovers(seed).agree());
	}

	private static OrganisationId nextInTurn(int position, long charged) {
		ServiceLedger owner = new ServiceLedger(SELF, 1_000, () -> CostEstimate.OfHint.INSTANCE);
		Account first = owner.account(new OrganisationId("a"));
		owner.turns(position, 2, 10);
		owner.waiting(0, first, true);
		owner.waiting(0, owner.account(new OrganisationId("b")), true);
		owner.charge(first, charged);
		return owner.next().orElseThrow().organisation();
	}

	private static void tell(ServiceLedger from, ServiceLedger to) {
		messages(from).forEach((message) -> to.received(0, from.self().vm(), message));
	}

	private static List<Service> messages(ServiceLedger ledger) {
		List<Service> messages = new ArrayList<>();
		ledger.rows().forEach((origin, rows) -> messages.add(new Service(origin, POOL, rows)));
		ledger.closed().forEach((origin) -> messages.add(new Service(origin, POOL, List.of())));
		return messages;
	}

	private void backlog(long now) {
		this.ledger.waiting(now, this.one, true);
		this.ledger.waiting(now, this.two, true);
	}

	private static Service service(String organisation, long charged, long refunded, long lift, boolean backlogged) {
		return new Service(PEER, POOL,
				List.of(new Service.Row(new OrganisationId(organisation), charged, refunded, lift, backlogged)));
	}

	/**
	 * Processes whose messages get lost, come again and come late, beside a naive ledger
	 * that keeps everything.
	 */
	private static final class Takeovers {

		private static final int VMS = 4;

		private static final int ORGANISATIONS = 3;

		private static final int STEPS = 60;

		private final Random random;

		private final List<ServiceLedger> ledgers = new ArrayList<>();

		private final List<Integer> numbers = new ArrayList<>();

		private final List<Service> sent = new ArrayList<>();

		private final long[] naive = new long[ORGANISATIONS];

		private Takeovers(int seed) {
			this.random = new Random(seed);
			for (int vm = 0; vm < VMS; vm++) {
				this.numbers.add(1);
				this.ledgers.add(ledger(vm));
			}
		}

		private boolean agree() {
			for (int step = 0; step < STEPS; step++) {
				step();
			}
			exchange();
			takeOver();
			exchange();
			for (ServiceLedger ledger : this.ledgers) {
				if (ledger.rows().size() > VMS || !agrees(ledger)) {
					return false;
				}
			}
			return true;
		}

		private boolean agrees(ServiceLedger ledger) {
			for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
				if (ledger.account(organisation(organisation)).service() != this.naive[organisation]) {
					return false;
				}
			}
			return true;
		}

		private void step() {
			switch (this.random.nextInt(6)) {
				case 0, 1 -> charge();
				case 2 -> send(any(), messages(any()));
				case 3 -> repeat();
				case 4 -> restart(this.random.nextInt(VMS));
				default -> takeOver();
			}
		}

		private void charge() {
			int organisation = this.random.nextInt(ORGANISATIONS);
			int cost = this.random.nextInt(100);
			ServiceLedger ledger = any();
			ledger.charge(ledger.account(organisation(organisation)), 2 * cost);
			ledger.refund(ledger.account(organisation(organisation)), cost);
			this.naive[organisation] += cost;
		}

		private void restart(int vm) {
			this.ledgers.forEach((other) -> send(other, messages(this.ledgers.get(vm))));
			this.numbers.set(vm, this.numbers.get(vm) + 10);
			this.ledgers.set(vm, ledger(vm));
			this.ledgers.forEach((other) -> send(this.ledgers.get(vm), messages(other)));
		}

		private void takeOver() {
			ServiceLedger first = this.ledgers.get(0);
			List<Incarnation> ended = first.origins()
				.stream()
				.filter((origin) -> origin.number() < this.numbers.get(index(origin.vm())))
				.toList();
			first.takeOver(ended);
			this.ledgers.forEach((other) -> {
				if (this.random.nextBoolean()) {
					send(other, messages(first));
				}
			});
		}

		private void exchange() {
			for (int round = 0; round < 2; round++) {
				this.ledgers.forEach((from) -> this.ledgers.forEach((to) -> send(to, messages(from))));
			}
		}

		private void repeat() {
			if (!this.sent.isEmpty()) {
				receive(any(), this.sent.get(this.random.nextInt(this.sent.size())));
			}
		}

		private void send(ServiceLedger to, List<Service> messages) {
			this.sent.addAll(messages);
			messages.forEach((message) -> receive(to, message));
		}

		private void receive(ServiceLedger to, Service message) {
			to.received(0, message.origin().vm(), message);
		}

		private ServiceLedger any() {
			return this.ledgers.get(this.random.nextInt(VMS));
		}

		private ServiceLedger ledger(int vm) {
			return new ServiceLedger(new Incarnation(new VmId("vm-" + vm), this.numbers.get(vm)), 1_000,
					() -> CostEstimate.OfHint.INSTANCE);
		}

		private static int index(VmId vm) {
			return Integer.parseInt(vm.value().substring("vm-".length()));
		}

		private static OrganisationId organisation(int index) {
			return new OrganisationId("organisation-" + index);
		}

	}

}
