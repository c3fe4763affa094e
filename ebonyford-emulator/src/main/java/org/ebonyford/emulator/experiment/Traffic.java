package org.ebonyford.emulator.experiment;

import java.util.List;
import java.util.stream.Collectors;

import org.ebonyford.emulator.load.Balancer;
import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.load.Load;
import org.ebonyford.emulator.load.Route;
import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;

/**
 * Measures what routers exchange with each other and with the platform, idle and at a
 * steady rate, as the relays count it.
 */
final class Traffic implements Experiment {

	/**
	 * The requests a second of each router.
	 */
	private static final int RATE_PER_ROUTER = 13;

	/**
	 * The bytes of a kilobyte.
	 */
	private static final double KILO = 1_000;

	/**
	 * The seed of the load.
	 */
	private static final long SEED = 12;

	@Override
	public Site.Builder site(Deployment deployment) {
		return Site.of(deployment).relayed();
	}

	@Override
	public void run(Bench bench) {
		Bench.pause(2_000);
		bench.record("control traffic of a router, idle", perRouter(bench), "kB/s");
		try (Load load = new Load(SEED)) {
			List<Route> routes = bench.site()
				.routers()
				.stream()
				.map((router) -> Route.throughRouter(router.callers()))
				.collect(Collectors.toList());
			List<Deployment.Organisation> organisations = bench.deployment().organisations();
			int rate = RATE_PER_ROUTER * routes.size();
			load.rate(rate, new Balancer.OfAll(routes),
					(number) -> CallSpec.chat(organisations.get((int) (number % organisations.size())),
							bench.engines().name(), "Question " + number, false));
			Bench.pause(5_000);
			bench.record("control traffic of a router, 13 requests/s", perRouter(bench), "kB/s");
			bench.recordPromises(load.stop());
		}
	}

	private static double perRouter(Bench bench) {
		long before = bytes(bench);
		long start = System.nanoTime();
		Bench.pause(bench.seconds() * 1_000L);
		double passed = (System.nanoTime() - start) / 1e9;
		return (bytes(bench) - before) / passed / bench.site().routers().size() / KILO;
	}

	private static long bytes(Bench bench) {
		return bench.site().routers().stream().mapToLong((Router router) -> bench.site().controlBytes(router)).sum();
	}

}
