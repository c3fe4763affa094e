package org.ebonyford.acceptance;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.CheckingClient;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.load.Verdict;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.site.StandIns;
import org.ebonyford.emulator.truth.Run;

/**
 * One call that may not be repeated, which a test holds on its way through one router.
 */
final class KeyedCall {

	/**
	 * The pool whose single instance bears one call at a time.
	 */
	static final String NARROW = "visits";

	/**
	 * The services that may get a call.
	 */
	private static final List<String> SERVICES = List.of("booking-core-1", "booking-core-2", NARROW + "-1");

	/**
	 * The operation of the log that takes claims and how they ended.
	 */
	private static final String APPEND = LogStandIn.APPEND + "/claims";

	/**
	 * The seconds to wait for a step at most.
	 */
	private static final long SECONDS = 60;

	/**
	 * The site.
	 */
	private final Site site;

	/**
	 * The caller.
	 */
	private final CheckingClient client;

	/**
	 * The router that gets the call first.
	 */
	private final Router router;

	/**
	 * The number of the call.
	 */
	private final long number;

	/**
	 * The call.
	 */
	private CallSpec spec;

	/**
	 * The answer of the router that got the call first.
	 */
	private CompletableFuture<Verdict> answer;

	KeyedCall(Site site, CheckingClient client, Router router, long number) {
		this.site = site;
		this.client = client;
		this.router = router;
		this.number = number;
		this.spec = spec(Sites.SERVICES, content());
	}

	/**
	 * Returns the idempotency key.
	 * @return the key
	 */
	String key() {
		return "struck-" + this.number;
	}

	/**
	 * Returns the answer of the router that got the call first.
	 * @return the answer, which may not have come yet
	 */
	CompletableFuture<Verdict> answer() {
		return this.answer;
	}

	/**
	 * Makes the call last.
	 * @param millis the milliseconds
	 */
	void lasting(long millis) {
		this.spec = spec(Sites.SERVICES, content() + " [tokens=" + millis + "]");
	}

	/**
	 * Has the call go to the pool that bears one call at a time.
	 */
	void toNarrowPool() {
		this.spec = spec(NARROW, content());
	}

	/**
	 * Sends the call to its first router.
	 */
	void send() {
		this.answer = send(this.router);
	}

	/**
	 * Sends the same key to some routers at the same time.
	 * @param routers the routers
	 * @return the answers
	 */
	List<CompletableFuture<Verdict>> send(List<Router> routers) {
		return routers.stream().map(this::send).toList();
	}

	/**
	 * Has a fault strike the next append that tells of the key.
	 * @param kind what goes wrong
	 */
	void strikeAppend(Fault.Kind kind) {
		this.site.standIns().fault(StandIns.LOG, append(kind).forCalls(1));
	}

	/**
	 * Has a fault strike all appends that tell of the key.
	 * @param kind what goes wrong
	 */
	void strikeAppends(Fault.Kind kind) {
		this.site.standIns().fault(StandIns.LOG, append(kind));
	}

	/**
	 * Has a fault strike the call at whichever service gets it.
	 * @param kind what goes wrong
	 */
	void strikeService(Fault.Kind kind) {
		SERVICES.forEach(
				(service) -> this.site.standIns().fault(service, Fault.of(kind).containing(content()).forCalls(1)));
	}

	/**
	 * Fills the pool that bears one call at a time with another call.
	 * @return the answer to the other call, which comes after the release
	 */
	CompletableFuture<Verdict> fillNarrowPool() {
		String service = NARROW + "-1";
		this.site.standIns().fault(service, Fault.of(Fault.Kind.HELD).containing("filling").forCalls(1));
		CompletableFuture<Verdict> filling = this.client.send(Route.throughRouter(others().get(0).callers()),
				CallSpec.call(Sites.LEVI, NARROW, "/visits", "filling"));
		awaitHeld(service);
		return filling;
	}

	/**
	 * Cuts the first router from the log.
	 */
	void cutFromLog() {
		this.site.cut(this.router, StandIns.LOG);
	}

	/**
	 * Cuts the first router from the services.
	 */
	void cutFromServices() {
		SERVICES.forEach((service) -> this.site.cut(this.router, service));
	}

	/**
	 * Waits until an append is held.
	 */
	void awaitHeldAppend() {
		awaitHeld(StandIns.LOG);
	}

	/**
	 * Waits until a service holds the call or its answer.
	 */
	void awaitHeldAtService() {
		Await.until(() -> "a service to hold " + this, SECONDS, () -> SERVICES.stream().anyMatch(this::holds));
	}

	/**
	 * Waits until a service runs the call.
	 */
	void awaitRunning() {
		Await.until(() -> this + " to run", SECONDS,
				() -> new Judge(this.site).truths()
					.stream()
					.flatMap((truth) -> truth.runs().stream())
					.anyMatch((run) -> run.key().equals(key()) && run.ending() == Run.Ending.RUNNING));
	}

	/**
	 * Waits until the first router tells operators of a request in some state.
	 * @param state the name of the count in the status
	 */
	void awaitCounted(String state) {
		Await.until(() -> this + " to be " + state + ": " + this.router.status(), SECONDS,
				() -> Json.tree(this.router.status().getBytes()).path(state).asInt() > 0);
	}

	/**
	 * Lets go on what the log holds.
	 */
	void releaseLog() {
		this.site.standIns().heal(StandIns.LOG);
	}

	/**
	 * Lets go on what the services hold.
	 */
	void releaseServices() {
		SERVICES.forEach(this.site.standIns()::heal);
	}

	/**
	 * Lets everything go on.
	 */
	void releaseAll() {
		releaseLog();
		releaseServices();
		this.site.healCuts();
	}

	/**
	 * Returns the routers beside the one that gets the call first.
	 * @return the routers
	 */
	List<Router> others() {
		return this.site.routers().stream().filter((other) -> !other.vm().equals(this.router.vm())).toList();
	}

	@Override
	public String toString() {
		return key() + ", answered with " + ((this.answer != null) ? this.answer.getNow(null) : null);
	}

	private CompletableFuture<Verdict> send(Router receiver) {
		return this.client.send(Route.throughRouter(receiver.callers()), this.spec);
	}

	private CallSpec spec(String pool, String content) {
		return CallSpec.call(Sites.PAWS, pool, "/bookings", content).once(key());
	}

	private String content() {
		return "visit " + this.number + ";";
	}

	private Fault append(Fault.Kind kind) {
		return Fault.of(kind).on(APPEND).containing("\"" + key() + "\"");
	}

	private void awaitHeld(String name) {
		Await.until(() -> name + " to hold " + this, SECONDS, () -> holds(name));
	}

	private boolean holds(String name) {
		return this.site.standIns().faults(name).held() > 0;
	}

}
