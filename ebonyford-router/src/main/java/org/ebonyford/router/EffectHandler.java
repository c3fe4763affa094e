package org.ebonyford.router;

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

}
