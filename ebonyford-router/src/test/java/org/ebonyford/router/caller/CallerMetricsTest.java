package org.ebonyford.router.caller;

import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.Test;

import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.RequestClass;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link CallerMetrics}.
 */
public class CallerMetricsTest {

	@Test
	public void testNumberOfMetricsIsBounded() {
		MetricRegistry registry = new MetricRegistry();
		CallerMetrics metrics = new CallerMetrics(registry, 3, new AtomicLong()::incrementAndGet);
		for (int each = 0; each < 100; each++) {
			metrics.start(new OrganisationId("o" + each), new RequestClass("c" + each)).end();
		}
		assertEquals(registry.getTimers().size(), 3 * (3 + 1) * 2);
		assertEquals(registry.timer("callers.organisation.others.total").getCount(), 97);
		assertEquals(registry.timer("callers.class.c2.total").getCount(), 1);
	}

}
