package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event.AppendEnded.Result;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Request;
import org.ebonyford.request.StoredAnswer;

/**
 * Several routers' claims over one fake log, with a ledger of what really ran.
 */
final class ClaimFleet {

	static final ClaimSettings SETTINGS = new ClaimSettings(60_000, 2_000, 20_000, 1_000, 1_000, 50, 20, 65_536, 300,
			20, 100, 100, 2_000, 100, 10_000, 10_000, 100, 1_000_000);

	private static final long MAX_LATE_MILLIS = 1_000;

	final FakeLog log = new FakeLog(SETTINGS.retentionMillis());

	final Ledger ledger = new Ledger();

	final List<Node> nodes = new ArrayList<>();

	private final List<Flight> flights = new ArrayList<>();

	private final List<Delivery> messages = new ArrayList<>();

	long time = 1_000_000;

	private long reachableAt = this.time;

	long maxOutage = 5_000;

	private int requests;

	ClaimFleet(int size) {
		for (int index = 0; index < size; index++) {
			this.nodes.add(new Node(new VmId("vm" + index), index));
		}
	}

	/** Lets a little time pass for all that runs. */
	void pass(long millis) {
		this.time += millis;
		this.reachableAt = this.log.reachable ? this.time : this.reachableAt;
		this.log.reachable |= this.time > this.reachableAt + this.maxOutage;
		this.flights.removeIf((flight) -> flight.reported && flight.startedAt < this.time - MAX_LATE_MILLIS);
		this.log.trim(this.time);
		this.nodes.stream().filter((node) -> !node.paused).forEach(Node::tick);
	}

	/** Settles all appends in flight and lets every router read all, as often as told. */
	void heal(int rounds) {
		this.log.reachable = true;
		this.nodes.stream().filter((node) -> node.paused).forEach(Node::resume);
		for (int round = 0; round < rounds; round++) {
			pass(60);
			landAll(Result.APPENDED, true);
			deliverAll();
			this.nodes.forEach((node) -> node.read(1_000));
		}
	}

	Request request(String key, String content, long deadline) {
		return new Request(new RequestId("r" + this.requests++), new OrganisationId("o"), new PoolId("p"),
				new RequestClass("c"), 1, deadline, Optional.of(new IdempotencyKey(key)), new Fingerprint(content));
	}

	void landAll(Result result, boolean effect) {
		List.copyOf(this.flights).forEach((flight) -> land(flight, result, effect));
	}

	/** Settles the appends in flight of one router. */
	void landFrom(Node node) {
		List.copyOf(this.flights)
			.stream()
			.filter((flight) -> flight.node == node)
			.forEach((flight) -> land(flight, Result.APPENDED, true));
	}

	/** Loses all messages that are on their way. */
	void loseMessages() {
		this.messages.clear();
	}

	/** Tells every router in which order routers are asked to append for all. */
	void writers(List<VmId> order) {
		this.nodes.forEach((node) -> node.writers(order));
	}

	/** Tells one router a random order, which may be empty or lack routers. */
	void shuffleWriters(Node node, Random random) {
		List<VmId> order = new ArrayList<>(this.nodes.stream().map((other) -> other.vm).toList());
		Collections.shuffle(order, random);
		node.writers(order.subList(0, random.nextInt(order.size() + 1)));
	}

	void landAny(Random random) {
		if (!this.flights.isEmpty()) {
			Flight flight = this.flights.get(random.nextInt(this.flights.size()));
			boolean reachable = this.log.reachable;
			int lot = random.nextInt(10);
			if (!reachable || lot == 0) {
				land(flight, Result.FAILED, false);
			}
			else if (lot < 4) {
				land(flight, Result.UNKNOWN, lot == 1);
			}
			else {
				land(flight, Result.APPENDED, true);
			}
		}
	}

	private void land(Flight flight, Result result, boolean effect) {
		if (effect && !flight.landed) {
			flight.landed = true;
			this.log.append(this.time, flight.append.records());
		}
		if (result != Result.UNKNOWN || effect) {
			this.flights.remove(flight);
		}
		if (!flight.reported && flight.node.incarnation().equals(flight.by)) {
			flight.reported = true;
			flight.node.appendEnded(flight.append.append(), result);
		}
	}

	void deliverAll() {
		while (!this.messages.isEmpty()) {
			this.messages.remove(0).deliver();
		}
	}

	void deliverAny(Random random) {
		if (!this.messages.isEmpty()) {
			Delivery delivery = this.messages.remove(random.nextInt(this.messages.size()));
			if (random.nextInt(4) > 0) {
				delivery.deliver();
			}
		}
	}

	Node node(VmId vm) {
		return this.nodes.stream().filter((node) -> node.vm.equals(vm)).findFirst().orElseThrow();
	}

	/**
	 * An append that was started, which may take effect after it was reported unknown.
	 */
	private static final class Flight {

		private final Node node;

		private final Incarnation by;

		private final Effect.AppendClaims append;

		private final long startedAt;

		private boolean landed;

		private boolean reported;

		Flight(Node node, Effect.AppendClaims append) {
			this.node = node;
			this.by = node.incarnation();
			this.append = append;
			this.startedAt = node.time();
		}

	}

	private record Delivery(Node to, Incarnation from, PeerMessage message) {

		void deliver() {
			if (!this.to.paused) {
				this.to.received(this.from, this.message);
			}
		}

	}

	/**
	 * One router: its claims, and what the reducer would keep beside them.
	 */
	final class Node implements ClaimListener {

		final VmId vm;

		private final long skew;

		final Outbox outbox = new Outbox();

		final Map<RequestId, Request> ready = new LinkedHashMap<>();

		final Map<RequestId, Request> running = new LinkedHashMap<>();

		final Map<RequestId, Request> open = new LinkedHashMap<>();

		private long number = 1;

		private long position;

		private List<VmId> order = List.of();

		boolean paused;

		Claims claims;

		Node(VmId vm, long skew) {
			this.vm = vm;
			this.skew = skew;
			this.claims = new Claims(SETTINGS, incarnation(), this);
		}

		Incarnation incarnation() {
			return new Incarnation(this.vm, this.number);
		}

		private long time() {
			return ClaimFleet.this.time;
		}

		private long now() {
			return ClaimFleet.this.time + this.skew * 7919;
		}

		private long epoch() {
			return ClaimFleet.this.time + this.skew * 13;
		}

		void tick() {
			this.claims.tick(now(), epoch(), this.outbox);
			List.copyOf(this.open.values())
				.stream()
				.filter((request) -> request.deadline() <= now())
				.forEach((request) -> abandon(request.id()));
			drain();
		}

		Request begin(String key, String content) {
			Request request = request(key, content, now() + 1_000);
			ClaimFleet.this.ledger.begin(request);
			this.open.put(request.id(), request);
			this.claims.begin(now(), epoch(), request, this.outbox);
			drain();
			return request;
		}

		void read(int limit) {
			if (ClaimFleet.this.log.reachable) {
				var event = ClaimFleet.this.log.read(now(), this.position, limit);
				this.position = event.next();
				this.claims.read(event, this.outbox);
			}
			else {
				this.claims.logUnreachable(now(), this.outbox);
			}
			drain();
		}

		void send(RequestId id) {
			this.claims.sending(now(), id);
			this.running.put(id, this.ready.remove(id));
		}

		/** Ends an exchange; whether it ran is the upstream's business. */
		void end(RequestId id, Ending ending, boolean ran) {
			Request request = this.running.remove(id);
			if (ran) {
				ClaimFleet.this.ledger.run(ClaimFleet.this.time, request);
			}
			Optional<StoredAnswer> answer = (ending == Ending.COMPLETED)
					? Optional.of(new StoredAnswer(200, "text/plain", id.value())) : Optional.empty();
			this.claims.ended(now(), id, ending, answer, this.outbox);
			this.open.remove(id);
			ClaimFleet.this.ledger.answer(id, new Effect.Cancel(id));
			drain();
		}

		void abandon(RequestId id) {
			this.claims.abandoned(now(), id, this.outbox);
			this.ready.remove(id);
			drain();
		}

		void appendEnded(long append, Result result) {
			this.claims.appendEnded(now(), append, result, this.outbox);
			drain();
		}

		void received(Incarnation from, PeerMessage message) {
			this.claims.received(now(), from, message, this.outbox);
			drain();
		}

		void writers(List<VmId> routers) {
			this.order = List.copyOf(routers);
			this.claims.writers(now(), this.order, this.outbox);
			drain();
		}

		void stop() {
			this.claims.stopping();
		}

		void lost(VmId silent) {
			this.claims.peerLost(now(), silent, this.outbox);
			drain();
		}

		void left(VmId gone) {
			this.claims.vmLeft(now(), gone, this.outbox);
			drain();
		}

		void pause() {
			this.paused = true;
		}

		void resume() {
			this.paused = false;
			this.claims.resumed(now(), this.outbox);
			drain();
		}

		/** Kills the process, whose exchanges may have run, and starts it empty. */
		void restart(boolean ran) {
			if (ran) {
				this.running.values().forEach((request) -> ClaimFleet.this.ledger.run(ClaimFleet.this.time, request));
			}
			this.open.keySet().forEach((id) -> ClaimFleet.this.ledger.answer(id, new Effect.Cancel(id)));
			List.of(this.ready, this.running, this.open).forEach(Map::clear);
			this.number++;
			this.position = 0;
			this.paused = false;
			this.outbox.drain();
			this.claims = new Claims(SETTINGS, incarnation(), this);
			writers(this.order);
		}

		@Override
		public void held(long now, Request request, Outbox effects) {
			this.ready.put(request.id(), request);
		}

		@Override
		public void suspended(long now, Request request, Outbox effects) {
			this.ready.remove(request.id());
		}

		void drain() {
			for (Effect effect : this.outbox.drain()) {
				if (effect instanceof Effect.AppendClaims append) {
					ClaimFleet.this.flights.add(new Flight(this, append));
				}
				else if (effect instanceof Effect.ToPeer peer) {
					ClaimFleet.this.messages.add(new Delivery(node(peer.to()), incarnation(), peer.message()));
				}
				else if (effect instanceof Effect.Refuse refuse) {
					this.open.remove(refuse.request());
					ClaimFleet.this.ledger.answer(refuse.request(), effect);
				}
				else if (effect instanceof Effect.Replay replay) {
					this.open.remove(replay.request());
					ClaimFleet.this.ledger.answer(replay.request(), effect);
				}
			}
		}

	}

}
