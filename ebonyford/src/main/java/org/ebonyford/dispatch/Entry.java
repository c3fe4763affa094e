package org.ebonyford.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.ebonyford.configuration.Plan;
import org.ebonyford.configuration.Pool;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage.Grant;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;

/**
 * The requests that came to this router: those that wait and those that run.
 */
final class Entry {

	/**
	 * The pools, the upstreams and the other routers.
	 */
	private final Fleet fleet;

	/**
	 * Tells owners what became of their grants.
	 */
	private final GrantReply reply;

	/**
	 * The running requests by name.
	 */
	private final Map<RequestId, Running> running = new HashMap<>();

	/**
	 * The pools of the waiting requests by name.
	 */
	private final Map<RequestId, PoolState> waiting = new HashMap<>();

	Entry(Fleet fleet, GrantReply reply) {
		this.fleet = fleet;
		this.reply = reply;
	}

	/**
	 * Queues a request or refuses it.
	 * @param now the clock reading in milliseconds
	 * @param request the request
	 * @param outbox takes the refusal
	 * @return the pool that the request waits for, or empty if it was refused
	 */
	Optional<PoolState> enqueue(long now, Request request, Outbox outbox) {
		Optional<PoolState> pool = this.fleet.pool(request.pool());
		Optional<RefusalReason> reason = refusal(now, request, pool);
		if (reason.isPresent()) {
			refuse(request.id(), reason.get(), Outcome.NOT_RUN, outbox);
			return Optional.empty();
		}
		PoolState state = pool.get();
		state.queue().addLast(new Waiting(request, now, 0));
		this.waiting.put(request.id(), state);
		state.queueChanged(now, request.organisation());
		return pool;
	}

	/**
	 * Gives up a request whose caller left.
	 * @param now the clock reading in milliseconds
	 * @param id the name of the request
	 * @param outbox takes the cancellation of a running exchange
	 */
	void withdraw(long now, RequestId id, Outbox outbox) {
		PoolState pool = this.waiting.remove(id);
		if (pool != null) {
			pool.queue().remove(id).ifPresent((gone) -> pool.queueChanged(now, gone.request().organisation()));
		}
		if (this.running.computeIfPresent(id, (key, exchange) -> exchange.withdraw()) != null) {
			outbox.add(new Effect.Cancel(id));
		}
	}

	/**
	 * Sends a waiting request on a grant of another router, or hands the grant back.
	 * @param now the clock reading in milliseconds
	 * @param from the VM of the other router
	 * @param grant the grant
	 * @param outbox takes the request or the grant
	 */
	void granted(long now, VmId from, Grant grant, Outbox outbox) {
		Optional<PoolState> pool = this.fleet.pool(grant.pool());
		pool.ifPresent((state) -> state.sender().granted(from, grant.organisation()));
		Optional<UpstreamState> upstream = this.fleet.upstream(grant.upstream())
			.filter((state) -> usable(state, grant.upstreamIncarnation()));
		long notAfter = grant.echo() + grant.validMillis();
		boolean started = now <= notAfter && pool.isPresent() && upstream.isPresent() && start(now, pool.get(),
				grant.organisation(), new Permission(grant.grant(), upstream.get(), grant.slot(), notAfter), outbox);
		if (!started) {
			this.reply.ended(now, from, grant.grant(), Ending.NOT_SENT, 0, outbox);
		}
	}

	/**
	 * Sends the first waiting request of an organisation.
	 * @param now the clock reading in milliseconds
	 * @param pool the pool
	 * @param organisation the organisation
	 * @param permission the permission to send it
	 * @param outbox takes the request
	 * @return whether a request was waiting whose deadline has not passed
	 */
	boolean start(long now, PoolState pool, OrganisationId organisation, Permission permission, Outbox outbox) {
		expire(now, pool, outbox);
		Optional<Waiting> first = pool.queue().poll(organisation);
		if (first.isEmpty()) {
			return false;
		}
		RequestId id = first.get().request().id();
		UpstreamState upstream = permission.upstream();
		this.waiting.remove(id);
		this.running.put(id, new Running(first.get(), permission.grant(), upstream, permission.slot(), now, false));
		upstream.started();
		pool.queueChanged(now, organisation);
		outbox.add(new Effect.Send(id, upstream.upstream().id(), upstream.upstream().address(), permission.notAfter()));
		return true;
	}

	/**
	 * Takes in that an exchange ended.
	 * @param now the clock reading in milliseconds
	 * @param id the name of the request
	 * @param ending how the exchange ended
	 * @param cost the true cost
	 * @param answering whether a part of the answer already went to the caller
	 * @param outbox takes a refusal and the message to the owner
	 * @return what becomes of the request
	 */
	Completion ended(long now, RequestId id, Ending ending, long cost, boolean answering, Outbox outbox) {
		Running exchange = this.running.remove(id);
		if (exchange == null) {
			return Completion.UNTRACKED;
		}
		exchange.upstream().ended();
		this.fleet.pool(exchange.waiting().request().pool()).ifPresent((pool) -> pool.lasted(now - exchange.since()));
		if (ending == Ending.BROKEN) {
			exchange.upstream().warmth().assumeCold(now);
		}
		Completion completion = complete(now, exchange, ending, answering, outbox);
		boolean failed = ending == Ending.NOT_SENT && !exchange.withdrawn();
		Ending told = failed ? Ending.DECLINED : ending;
		this.reply.ended(now, exchange.grant().owner().vm(), exchange.grant(), told, cost, outbox);
		tellPresentOwner(now, exchange, told, cost, outbox);
		return completion;
	}

	/**
	 * Refuses the requests whose deadline passed and those that no upstream can serve any
	 * more.
	 * @param now the clock reading in milliseconds
	 * @param outbox takes the refusals
	 */
	void expire(long now, Outbox outbox) {
		for (PoolState pool : this.fleet.pools()) {
			expire(now, pool, outbox);
		}
	}

	/**
	 * Takes in that the event loop stood still.
	 * @param now the clock reading in milliseconds
	 */
	void resume(long now) {
		this.running.replaceAll((id, exchange) -> exchange.resume(now));
	}

	/**
	 * Takes in how long the running requests have lasted so far.
	 * @param now the clock reading in milliseconds
	 */
	void age(long now) {
		for (Running exchange : this.running.values()) {
			this.fleet.pool(exchange.waiting().request().pool())
				.ifPresent((pool) -> pool.lasting(now - exchange.since()));
		}
	}

	Collection<Running> running() {
		return this.running.values();
	}

	int queued() {
		return this.waiting.size();
	}

	private void expire(long now, PoolState pool, Outbox outbox) {
		boolean open = pool.open();
		pool.queue().expire(open ? now : Long.MAX_VALUE, (gone) -> {
			this.waiting.remove(gone.request().id());
			pool.queueChanged(now, gone.request().organisation());
			RefusalReason reason = open ? RefusalReason.DEADLINE : RefusalReason.NO_UPSTREAM;
			refuse(gone.request().id(), reason, gone.outcome(), outbox);
		});
	}

	private Optional<RefusalReason> refusal(long now, Request request, Optional<PoolState> pool) {
		if (this.fleet.topology().isEmpty()) {
			return Optional.of(RefusalReason.NOT_READY);
		}
		if (pool.isEmpty() || !this.fleet.configured(request.pool())) {
			return Optional.of(RefusalReason.NO_SUCH_POOL);
		}
		if (!pool.get().open()) {
			return Optional.of(RefusalReason.NO_UPSTREAM);
		}
		if (request.deadline() <= now) {
			return Optional.of(RefusalReason.DEADLINE);
		}
		if (pool.get().queue().count(request.organisation()) >= maxQueued(request.organisation())) {
			return Optional.of(RefusalReason.QUEUE_FULL);
		}
		return Optional.empty();
	}

	private int maxQueued(OrganisationId organisation) {
		return this.fleet.topology()
			.map((topology) -> topology.configuration())
			.flatMap((configuration) -> Optional.ofNullable(configuration.organisations().get(organisation))
				.map((customer) -> configuration.plans().get(customer.plan())))
			.map(Plan::maxQueued)
			.orElse(Integer.MAX_VALUE);
	}

	private boolean usable(UpstreamState upstream, long incarnation) {
		OptionalLong known = upstream.warmth().incarnation();
		return upstream.open() && (known.isEmpty() || known.getAsLong() == incarnation);
	}

	private Completion complete(long now, Running exchange, Ending ending, boolean answering, Outbox outbox) {
		if (exchange.withdrawn() || ending == Ending.COMPLETED || ending == Ending.CANCELLED) {
			return Completion.OVER;
		}
		if (ending != Ending.BROKEN) {
			return requeue(now, exchange.waiting(), outbox);
		}
		if (!answering && repeatable(exchange.waiting())) {
			return requeue(now, exchange.waiting().afterBreak(), outbox);
		}
		refuse(exchange.waiting().request().id(), RefusalReason.UPSTREAM_BROKEN, Outcome.UNKNOWN, outbox);
		return Completion.REFUSED;
	}

	private boolean repeatable(Waiting waiting) {
		Request request = waiting.request();
		boolean engine = this.fleet.pool(request.pool())
			.filter((pool) -> pool.pool().kind() == Pool.Kind.ENGINE)
			.isPresent();
		return engine && request.key().isEmpty() && waiting.broken() < this.fleet.settings().retries().maxBroken();
	}

	private Completion requeue(long now, Waiting again, Outbox outbox) {
		Request request = again.request();
		PoolState pool = this.fleet.pool(request.pool()).filter(PoolState::open).orElse(null);
		if (pool == null || request.deadline() <= now) {
			RefusalReason reason = (pool != null) ? RefusalReason.DEADLINE : RefusalReason.NO_UPSTREAM;
			refuse(request.id(), reason, again.outcome(), outbox);
			return Completion.REFUSED;
		}
		pool.queue().addFirst(again);
		this.waiting.put(request.id(), pool);
		pool.queueChanged(now, request.organisation());
		return Completion.REQUEUED;
	}

	private void tellPresentOwner(long now, Running exchange, Ending ending, long cost, Outbox outbox) {
		GrantId grant = exchange.grant();
		exchange.upstream()
			.owner(exchange.slot())
			.filter((owner) -> !owner.equals(grant.owner().vm()))
			.ifPresent((owner) -> this.reply.ended(now, owner, grant, ending, cost, outbox));
	}

	private void refuse(RequestId id, RefusalReason reason, Outcome outcome, Outbox outbox) {
		OptionalLong retryAfter = switch (reason) {
			case NO_SUCH_POOL -> OptionalLong.empty();
			default -> OptionalLong.of(this.fleet.settings().retries().retryAfterMillis());
		};
		outbox.add(new Effect.Refuse(id, new Refusal(reason, outcome, retryAfter)));
	}

	/**
	 * Permits to send one request.
	 *
	 * @param grant the grant
	 * @param upstream the upstream
	 * @param slot the slot that the request occupies
	 * @param notAfter the clock reading in milliseconds after which it must not be sent
	 */
	record Permission(GrantId grant, UpstreamState upstream, int slot, long notAfter) {

	}

}
