package org.ebonyford.lifecycle;

import java.util.List;

import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.log.LogEvent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Lifecycle}.
 */
public class LifecycleTest {

	private static final long NOTICE_MILLIS = 100;

	@Test
	public void testReadinessIsToldOnChangeOnly() {
		Lifecycle lifecycle = new Lifecycle(NOTICE_MILLIS);
		Outbox outbox = new Outbox();
		lifecycle.updateReadiness("", outbox);
		lifecycle.updateReadiness("", outbox);
		assertEquals(outbox.drain(), List.of(new Effect.Readiness(true, ""), new Effect.Note(LogEvent.READY, "")));
		lifecycle.updateReadiness("because", outbox);
		assertEquals(outbox.drain().get(0), new Effect.Readiness(false, "because"));
	}

	@Test
	public void testRequestsAreTakenDuringTheNotice() {
		Lifecycle lifecycle = new Lifecycle(NOTICE_MILLIS);
		lifecycle.stop(1_000, new Outbox());
		assertFalse(lifecycle.ready());
		assertFalse(lifecycle.refusesRequests(1_099));
		assertTrue(lifecycle.refusesRequests(1_100));
	}

	@Test
	public void testProcessEndsOnceAfterTheNoticeWithNothingLeft() {
		Lifecycle lifecycle = new Lifecycle(NOTICE_MILLIS);
		Outbox outbox = new Outbox();
		lifecycle.stop(0, new Outbox());
		lifecycle.tick(NOTICE_MILLIS - 1, true, outbox);
		lifecycle.tick(NOTICE_MILLIS, false, outbox);
		assertEquals(outbox.drain(), List.of());
		lifecycle.tick(NOTICE_MILLIS + 1, true, outbox);
		lifecycle.tick(NOTICE_MILLIS + 2, true, outbox);
		assertEquals(outbox.drain(), List.of(new Effect.Note(LogEvent.STOPPED, ""), new Effect.Exit()));
	}

}
