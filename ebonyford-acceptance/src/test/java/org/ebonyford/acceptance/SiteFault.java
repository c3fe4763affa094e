package org.ebonyford.acceptance;

import java.util.function.Consumer;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.platform.LogStandIn;
import org.ebonyford.emulator.process.Await;
import org.ebonyford.emulator.site.CommandResult;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;
import org.ebonyford.emulator.site.StandIns;

import static org.testng.Assert.assertEquals;

/**
 * Faults that strike a site of at least three routers until they are healed. A later one
 * is to strike after and to be healed before an earlier one, since an operator's command
 * needs the log.
 */
enum SiteFault {

	/** An operator takes a data centre out. */
	DATA_CENTRE_OUT((site) -> {
		operate(site, "out");
		Await.until("a router to know what is out", 60, () -> site.routers().stream().anyMatch(SiteFault::knowsOut));
	}, (site) -> operate(site, "in")),

	/** A router is killed, and started empty when it is healed. */
	ROUTER_KILLED((site) -> site.router(2).kill(), (site) -> site.restart(2)),

	/** A router is frozen, and woken when it is healed. */
	ROUTER_FROZEN((site) -> site.router(0).freeze(), (site) -> site.router(0).thaw()),

	/** An engine turns cold without warning. */
	ENGINE_COLD((site) -> site.standIns().order("llm-1", "restart"), (site) -> {
	}),

	/** Two routers are cut from each other. */
	ROUTERS_CUT((site) -> site.cutPeers(site.router(0), site.router(1)), Site::healCuts),

	/** The answers of the log are lost after taking effect. */
	LOG_ANSWERS_LOST((site) -> site.standIns().fault(StandIns.LOG, Fault.of(Fault.Kind.LOST).on(LogStandIn.APPEND)),
			(site) -> site.standIns().heal(StandIns.LOG)),

	/** The log turns everything away. */
	LOG_OUTAGE((site) -> site.standIns().fault(StandIns.LOG, Fault.of(Fault.Kind.OUTAGE)),
			(site) -> site.standIns().heal(StandIns.LOG));

	/**
	 * The data centre that is taken out.
	 */
	static final String OUT = "kz-south-b";

	/**
	 * Begins the fault.
	 */
	private final Consumer<Site> begin;

	/**
	 * Ends the fault.
	 */
	private final Consumer<Site> end;

	SiteFault(Consumer<Site> begin, Consumer<Site> end) {
		this.begin = begin;
		this.end = end;
	}

	/**
	 * Begins the fault.
	 * @param site the site
	 */
	void strike(Site site) {
		this.begin.accept(site);
	}

	/**
	 * Ends the fault.
	 * @param site the site
	 */
	void heal(Site site) {
		this.end.accept(site);
	}

	private static void operate(Site site, String order) {
		CommandResult result = site.operate("dc", order, OUT);
		assertEquals(result.exitCode(), 0, result.output());
	}

	private static boolean knowsOut(Router router) {
		return Json.tree(router.status().getBytes()).path("dataCentresOut").toString().contains(OUT);
	}

}
