package org.ebonyford.router;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.ebonyford.effect.Effect;

/**
 * Carries out effects of one or more kinds without blocking the thread that calls it.
 */
@FunctionalInterface
public interface EffectHandler {

	/**
	 * Carries out an effect.
	 * @param effect the effect
	 */
	void handle(Effect effect);

	/**
	 * Takes in that all effects of an event were handed over, so that what was gathered
	 * of them can go out together.
	 */
	default void flush() {
	}

	/**
	 * A handler that hands each kind of effect to the handler that was set for it.
	 */
	final class Compound implements EffectHandler {

		/**
		 * The handlers by the kind of effect.
		 */
		private final Map<Class<? extends Effect>, EffectHandler> handlers = new HashMap<>();

		/**
		 * The handlers, each once.
		 */
		private final Set<EffectHandler> distinct = new LinkedHashSet<>();

		/**
		 * Sets the handler of a kind of effect.
		 * @param kind the kind
		 * @param handler the handler
		 * @return this handler
		 */
		public Compound on(Class<? extends Effect> kind, EffectHandler handler) {
			this.handlers.put(kind, handler);
			this.distinct.add(handler);
			return this;
		}

		/**
		 * Carries out an effect.
		 * @param effect the effect
		 * @throws IllegalStateException if no handler was set for its kind
		 */
		@Override
		public void handle(Effect effect) {
			EffectHandler handler = this.handlers.get(effect.getClass());
			if (handler == null) {
				throw new IllegalStateException("No handler for " + effect.getClass().getSimpleName());
			}
			handler.handle(effect);
		}

		@Override
		public void flush() {
			this.distinct.forEach(EffectHandler::flush);
		}

	}

}
