package org.ebonyford.lifecycle;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AdaptiveRequestLimiterTest {

	private static final String CROWD = "crowd";

	private static final String SMALL = "small";

	@Test
	public void testAllIsTakenInTime() {
		AdaptiveRequestLimiter intake = new AdaptiveRequestLimiter();
		for (int millis = 0; millis < 3_000; millis++) {
			intake.update(0, millis);
			assertTrue(intake.admit(CROWD, millis).admitted());
			intake.recordAdmitted(CROWD, millis);
		}
	}

	@Test
	public void testVmTakesMostOfWhatItCanHandleAndStaysInTime() {
		Vm vm = new Vm();
		vm.play(20_000);
		assertTrue(vm.crowdTaken > 20 * 80, "of 2,500 that it can handle it took " + vm.crowdTaken);
		assertTrue(vm.longestLate < 800, "late by " + vm.longestLate + " ms");
	}

	@Test
	public void testSmallOrganisationIsTakenBesideACrowd() {
		Vm vm = new Vm();
		vm.play(20_000);
		assertTrue(vm.smallTaken > 0.9 * vm.smallAsked, vm.smallTaken + " of " + vm.smallAsked);
	}

	@Test
	public void testLittleIsTakenLateBeforeMoreWasTakenInTime() {
		AdaptiveRequestLimiter intake = new AdaptiveRequestLimiter();
		int taken = 0;
		intake.update(0, 0);
		for (int request = 0; request < 60; request++) {
			intake.update(300, 300);
			if (intake.admit(CROWD, 300).admitted()) {
				intake.recordAdmitted(CROWD, 300);
				taken++;
			}
		}
		assertTrue(taken > 0 && taken <= 15, taken + " were taken");
	}

	@Test
	public void testPartTellsHowManyRequestsAreTaken() {
		AdaptiveRequestLimiter intake = new AdaptiveRequestLimiter();
		assertEquals(intake.admit(CROWD, 0).admittedFraction(), 1.0);
		Vm vm = new Vm();
		vm.play(5_000);
		assertTrue(vm.intake.admit(CROWD, 5_001).admittedFraction() < 0.6);
		assertEquals(vm.intake.admit(SMALL, 5_001).admittedFraction(), 1.0);
	}

	/**
	 * A VM that needs 5 ms for a request that it takes and 1 ms for one that it refuses,
	 * of which 500 come in a second, and a few of another organisation.
	 */
	private static final class Vm {

		private final AdaptiveRequestLimiter intake = new AdaptiveRequestLimiter();

		private double freeAt;

		private int crowdTaken;

		private int smallTaken;

		private int smallAsked;

		private long longestLate;

		void play(int millis) {
			for (int now = 0; now < millis; now++) {
				long late = (long) Math.max(this.freeAt - now, 0);
				this.longestLate = Math.max(this.longestLate, late);
				if (now % 50 == 0 || late > 150) {
					this.intake.update(late, now);
				}
				if (now % 2 == 0) {
					this.crowdTaken += handle(CROWD, now);
				}
				if (now % 100 == 1) {
					this.smallAsked++;
					this.smallTaken += handle(SMALL, now);
				}
			}
		}

		private int handle(String organisation, int now) {
			boolean passes = this.intake.admit(organisation, now).admitted();
			if (passes) {
				this.intake.recordAdmitted(organisation, now);
			}
			this.freeAt = Math.max(this.freeAt, now) + (passes ? 5 : 1);
			return passes ? 1 : 0;
		}

	}

}
