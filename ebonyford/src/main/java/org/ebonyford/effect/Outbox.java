package org.ebonyford.effect;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the effects of one event in the order in which they are to be carried out.
 */
public final class Outbox {

	/**
	 * The effects that were added since the last drain.
	 */
	private List<Effect> effects = new ArrayList<>();

	/**
	 * Adds an effect.
	 * @param effect the effect
	 */
	public void add(Effect effect) {
		this.effects.add(effect);
	}

	/**
	 * Returns the effects that were added and forgets them.
	 * @return the effects in the order of addition
	 */
	public List<Effect> drain() {
		if (this.effects.isEmpty()) {
			return List.of();
		}
		List<Effect> drained = this.effects;
		this.effects = new ArrayList<>();
		return drained;
	}

}
