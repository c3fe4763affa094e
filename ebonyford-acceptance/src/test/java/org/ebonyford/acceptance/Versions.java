package org.ebonyford.acceptance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.site.Router;
import org.ebonyford.emulator.site.Site;

/**
 * Watches which versions of the control state are in force at the routers of a site.
 */
final class Versions implements AutoCloseable {

	/**
	 * The milliseconds between two looks at the routers.
	 */
	private static final long PERIOD_MILLIS = 100;

	/**
	 * The site.
	 */
	private final Site site;

	/**
	 * Looks at the routers.
	 */
	private final ScheduledExecutorService observer = Executors.newSingleThreadScheduledExecutor();

	/**
	 * The highest version of each process by the numbers of the processes, used by the
	 * observer alone.
	 */
	private final Map<Long, Long> highest = new HashMap<>();

	/**
	 * The steps back that were seen.
	 */
	private final List<String> reversions = Collections.synchronizedList(new ArrayList<>());

	/**
	 * Starts to watch.
	 * @param site the site
	 */
	Versions(Site site) {
		this.site = site;
		this.observer.scheduleWithFixedDelay(this::observe, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the version that is in force at a router.
	 * @param router the router
	 * @return the version, or -1 if the router does not tell one
	 */
	static long of(Router router) {
		return Json.tree(router.status().getBytes(StandardCharsets.UTF_8)).path("controlVersion").asLong(-1);
	}

	/**
	 * Returns the newest version that is in force at any router.
	 * @return the version
	 */
	long newest() {
		return this.site.routers().stream().mapToLong(Versions::of).max().orElseThrow();
	}

	/**
	 * Returns the steps back that were seen so far.
	 * @return one sentence each
	 */
	List<String> reversions() {
		return List.copyOf(this.reversions);
	}

	@Override
	public void close() {
		this.observer.shutdownNow();
	}

	private void observe() {
		for (Router router : this.site.routers()) {
			long version = of(router);
			long known = this.highest.getOrDefault(router.process().pid(), -1L);
			if (version >= 0 && version < known) {
				this.reversions.add(router.vm() + " went from " + known + " to " + version);
			}
			this.highest.merge(router.process().pid(), version, Math::max);
		}
	}

}
