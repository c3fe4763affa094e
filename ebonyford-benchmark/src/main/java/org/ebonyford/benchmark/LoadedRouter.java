package org.ebonyford.benchmark;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.ebonyford.admission.Admission;
import org.ebonyford.claim.ClaimSettings;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.control.RefreshPolicy;
import org.ebonyford.dispatch.DispatchSettings;
import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.load.LoadReport;
import org.ebonyford.membership.VmEntry;
import org.ebonyford.membership.VmList;
import org.ebonyford.peer.Audience;
import org.ebonyford.peer.PeerTimes;
import org.ebonyford.reducer.Reducer;
import org.ebonyford.reducer.ReducerSettings;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Request;
import org.ebonyford.suspect.SuspectSettings;

/**
 * One router's reducer with a tenth of its organisations backlogged. It owns all slots of
 * its upstreams and time passes with its events.
 */
public final class LoadedRouter {

	/**
	 * The slots of each upstream.
	 */
	private static final int SLOTS = 8;

	/**
	 * The share of the organisations that is backlogged.
	 */
	private static final int BACKLOGGED_SHARE = 10;

	/**
	 * The requests that each backlogged organisation has waiting.
	 */
	private static final int WAITING_EACH = 4;

	/**
	 * The events between two ticks.
	 */
	private static final int EVENTS_PER_TICK = 64;

	/**
	 * The milliseconds between two ticks.
	 */
	private static final long TICK_MILLIS = 10;

	/**
	 * The cost of each request in tokens.
	 */
	private static final long COST = 256;

	/**
	 * The milliseconds for which callers wait.
	 */
	private static final long PATIENCE_MILLIS = 3_600_000;

	/**
	 * The class of all requests.
	 */
	private static final RequestClass CLASS = new RequestClass("chat");

	/**
	 * The pool of all upstreams.
	 */
	private static final PoolId POOL = new PoolId("engines");

	/**
	 * The digest of all requests.
	 */
	private static final Fingerprint FINGERPRINT = new Fingerprint("00");

	/**
	 * The reducer.
	 */
	private final Reducer reducer;

	/**
	 * The number of upstreams.
	 */
	private final int upstreams;

	/**
	 * The organisations that are backlogged.
	 */
	private final List<OrganisationId> backlogged;

	/**
	 * The requests that run.
	 */
	private final Deque<Effect.Send> running = new ArrayDeque<>();

	/**
	 * The number of requests that run on each upstream.
	 */
	private final Map<UpstreamId, Integer> runningOn = new HashMap<>();

	/**
	 * The clock reading in milliseconds.
	 */
	private long now = 1;

	/**
	 * The events so far.
	 */
	private long events;

	/**
	 * The requests so far.
	 */
	private long requests;

	/**
	 * Creates a router and brings it to work.
	 * @param organisations the number of organisations
	 * @param upstreams the number of upstreams
	 */
	public LoadedRouter(int organisations, int upstreams) {
		VmId vm = new VmId("vm-1");
		DataCentreId dataCentre = new DataCentreId("dc-1");
		this.upstreams = upstreams;
		this.backlogged = IntStream.range(0, Math.max(2, organisations / BACKLOGGED_SHARE))
			.mapToObj((index) -> new OrganisationId("organisation-" + index))
			.toList();
		this.reducer = new Reducer(settings(), new Incarnation(vm, 1), dataCentre, Admission.ByPlan.INSTANCE);
		apply(new Event.Tick(this.now, this.now));
		apply(new Event.VmListRead(this.now,
				new VmList(1, List.of(new VmEntry(vm, dataCentre, "127.0.0.1:1", false)), List.of())));
		apply(configuration(organisations));
		warmUp();
		fill();
	}

	private static ReducerSettings settings() {
		return new ReducerSettings(DispatchSettings.defaults(), ClaimSettings.DEFAULT, SuspectSettings.DEFAULT,
				new RefreshPolicy(PATIENCE_MILLIS, PATIENCE_MILLIS, PATIENCE_MILLIS), new PeerTimes(250, 1_500),
				Audience.ForAll.INSTANCE, 1_000, 500, 0);
	}

	private Event configuration(int organisations) {
		StringBuilder plans = new StringBuilder("[plan all]\nweight = 1\nmax-queued = 1000\n");
		for (int index = 0; index < organisations; index++) {
			plans.append(
					String.format("[organisation organisation-%d]\nplan = all\nkey-sha256 = %064x\n", index, index));
		}
		StringBuilder uses = new StringBuilder("[pool engines]\nkind = engine\n");
		uses.append("warm-limit = ").append(SLOTS).append("\ncold-limit = ").append(SLOTS).append('\n');
		for (int index = 0; index < this.upstreams; index++) {
			uses.append(
					String.format("[upstream engine-%d]\npool = engines\ndata-centre = dc-1\naddress = 127.0.0.1:%d\n",
							index, 10_000 + index));
		}
		uses.append("[use all engines]\nclasses = chat\n");
		ControlState state = new ControlState(0, plans.toString(), uses.toString(), Set.of(), Set.of(), Set.of());
		return new Event.ControlRead(this.now, 0, 1, 1,
				List.of(new ControlRecord(0, 0, "first", "benchmark", -1, state)));
	}

	private void warmUp() {
		for (int tick = 0; tick < 1_500; tick++) {
			tick();
		}
	}

	private void fill() {
		for (OrganisationId organisation : this.backlogged) {
			for (int index = 0; index < WAITING_EACH; index++) {
				arrive(organisation);
			}
		}
		while (this.running.size() < this.upstreams * SLOTS) {
			arrive(this.backlogged.get((int) (this.requests % this.backlogged.size())));
		}
	}

	/**
	 * Lets one request end and another one of some backlogged organisation arrive.
	 * @return the number of effects
	 */
	public int step() {
		Effect.Send first = this.running.remove();
		this.runningOn.merge(first.upstream(), -1, Integer::sum);
		int effects = apply(
				new Event.ExchangeEnded(this.now, first.request(), Ending.COMPLETED, COST, Optional.empty(), true));
		return effects + arrive(this.backlogged.get((int) (this.requests % this.backlogged.size())));
	}

	private int arrive(OrganisationId organisation) {
		RequestId id = new RequestId("request-" + this.requests++);
		return apply(new Event.RequestArrived(this.now, new Request(id, organisation, POOL, CLASS, COST,
				this.now + PATIENCE_MILLIS, Optional.empty(), FINGERPRINT)));
	}

	private int apply(Event event) {
		int effects = take(this.reducer.apply(event));
		if (++this.events % EVENTS_PER_TICK == 0) {
			tick();
		}
		return effects;
	}

	private void tick() {
		this.now += TICK_MILLIS;
		take(this.reducer.apply(new Event.Tick(this.now, this.now)));
		UpstreamId upstream = new UpstreamId("engine-" + (this.now / TICK_MILLIS) % this.upstreams);
		report(upstream);
	}

	private void report(UpstreamId upstream) {
		LoadReport report = new LoadReport(1, this.runningOn.getOrDefault(upstream, 0), this.events, 0, false);
		take(this.reducer.apply(new Event.LoadReported(this.now, upstream, Optional.of(report))));
	}

	private int take(List<Effect> effects) {
		for (Effect effect : effects) {
			if (effect instanceof Effect.Send send) {
				this.running.add(send);
				this.runningOn.merge(send.upstream(), 1, Integer::sum);
			}
			else if (effect instanceof Effect.Refuse refuse) {
				throw new IllegalStateException("A request was refused: " + refuse.refusal());
			}
		}
		return effects.size();
	}

}
