package org.ebonyford.emulator.site;

import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.ebonyford.emulator.load.Balancer;
import org.ebonyford.emulator.load.Route;

/**
 * A balancer that asks the routers for their readiness and sends to those only that say
 * yes.
 */
public final class ReadyRouters implements Balancer, AutoCloseable {

	/**
	 * The milliseconds between two questions.
	 */
	private static final long PERIOD_MILLIS = 200;

	/**
	 * The site whose routers are asked.
	 */
	private final Site site;

	/**
	 * Asks the routers.
	 */
	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "balancer");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * The routes through the routers that take requests.
	 */
	private volatile List<Route> routes = List.of();

	/**
	 * Starts to ask.
	 * @param site the site whose routers are asked
	 */
	public ReadyRouters(Site site) {
		this.site = site;
		ask();
		this.scheduler.scheduleWithFixedDelay(this::ask, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public Route next(Random draw) {
		List<Route> ready = this.routes;
		if (ready.isEmpty()) {
			return Route.throughRouter(this.site.routers().get(0).callers());
		}
		return ready.get(draw.nextInt(ready.size()));
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

	private void ask() {
		this.routes = this.site.routers()
			.parallelStream()
			.filter((router) -> router.process().alive() && router.ready())
			.map((router) -> Route.throughRouter(router.callers()))
			.toList();
	}

}
