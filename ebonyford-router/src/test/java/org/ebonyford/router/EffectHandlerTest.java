package org.ebonyford.router;

import org.testng.annotations.Test;

import org.ebonyford.effect.Effect;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link EffectHandler}.
 */
public class EffectHandlerTest {

	@Test
	public void testFlushReachesAHandlerOfTwoKindsOnce() {
		Counting handler = new Counting();
		new EffectHandler.Compound().on(Effect.ToPeer.class, handler).on(Effect.ConnectPeers.class, handler).flush();
		assertEquals(handler.flushes, 1);
	}

	private static final class Counting implements EffectHandler {

		private int flushes;

		@Override
		public void handle(Effect effect) {
		}

		@Override
		public void flush() {
			this.flushes++;
		}

	}

}
