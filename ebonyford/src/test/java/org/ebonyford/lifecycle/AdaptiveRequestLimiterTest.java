package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a small VM that lags or rejects nearly everything when all callers of
 * one organisation come to it, and against other organisations that are displaced there.
 */
public class AdaptiveRequestLimiterTest {

	private static final String CROWD = "crowd";

	private static final String SMALL = "small";

	@Test
	public void testAllRequestsAreAdmittedWithoutLag() {
		AdaptiveRequestLimiter limiter = new AdaptiveRequestLimiter();
		for (int millis = 0; millis < 3_000; millis++) {
			limiter.update(0, millis);
			assertTrue(limiter.admit(CROWD, millis).admitted());
			limiter.recordAdmitted(CROWD, millis);
		}
	}

	@Test
	public void testVmAdmitsMostOfItsCapacityAndLimitsItsLag() {
		Vm vm = new Vm();
		vm.run(20_000);
		assertTrue(vm.crowdAdmitted > 20 * 80,
				"expected more than 1,600 of some 2,500 possible requests to be admitted, got " + vm.crowdAdmitted);
		assertTrue(vm.maxLagMillis < 800, "expected a lag below 800 ms, got " + vm.maxLagMillis + " ms");
	}

	@Test
	public void testSmallOrganisationIsAdmittedDespiteACrowd() {
		Vm vm = new Vm();
		vm.run(20_000);
		assertTrue(vm.smallAdmitted > 0.9 * vm.smallRequests,
				vm.smallAdmitted + " requests admitted of " + vm.smallRequests);
	}

	@Test
	public void testLaggingRouterLimitsTheFirstBurst() {
		AdaptiveRequestLimiter limiter = new AdaptiveRequestLimiter();
		int admitted = 0;
		limiter.update(0, 0);
		for (int request = 0; request < 60; request++) {
			limiter.update(300, 300);
			if (limiter.admit(CROWD, 300).admitted()) {
				limiter.recordAdmitted(CROWD, 300);
				admitted++;
			}
		}
		assertTrue(admitted > 0 && admitted <= 15, admitted + " requests admitted, expected 1 to 15");
	}

	@Test
	public void testFractionOfAdmittedRequestsIsReported() {
		AdaptiveRequestLimiter limiter = new AdaptiveRequestLimiter();
		assertEquals(limiter.admit(CROWD, 0).admittedFraction(), 1.0);
		Vm vm = new Vm();
		vm.run(5_000);
		assertTrue(vm.limiter.admit(CROWD, 5_001).admittedFraction() < 0.6);
		assertEquals(vm.limiter.admit(SMALL, 5_001).admittedFraction(), 1.0);
	}

	/**
	 * A VM that needs 5 ms for an admitted request and 1 ms for a rejected one. One
	 * organisation sends 500 requests per second, another one 10.
	 */
	private static final class Vm {

		private final AdaptiveRequestLimiter limiter = new AdaptiveRequestLimiter();

		private double freeAt;

		private int crowdAdmitted;

		private int smallAdmitted;

		private int smallRequests;

		private long maxLagMillis;

		void run(int millis) {
			for (int now = 0; now < millis; now++) {
				long lagMillis = (long) Math.max(this.freeAt - now, 0);
				this.maxLagMillis = Math.max(this.maxLagMillis, lagMillis);
				if (now % 50 == 0 || lagMillis > 150) {
					this.limiter.update(lagMillis, now);
				}
				if (now % 2 == 0) {
					this.crowdAdmitted += handle(CROWD, now);
				}
				if (now % 100 == 1) {
					this.smallRequests++;
					this.smallAdmitted += handle(SMALL, now);
				}
			}
		}

		private int handle(String organisation, int now) {
			boolean admitted = this.limiter.admit(organisation, now).admitted();
			if (admitted) {
				this.limiter.recordAdmitted(organisation, now);
			}
			this.freeAt = Math.max(this.freeAt, now) + (admitted ? 5 : 1);
			return admitted ? 1 : 0;
		}

	}

}
