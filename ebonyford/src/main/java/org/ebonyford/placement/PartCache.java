package org.ebonyford.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The prompt parts that an engine is believed to keep, as far as this router sent them.
 * The least recently used parts yield, as they do at the engine.
 */
public final class PartCache {

	/**
	 * The greatest number of tokens that are believed to be kept.
	 */
	private final LongSupplier capacity;

	/**
	 * The tokens of each part by the hash of it and the parts before it, least recently
	 * used first.
	 */
	private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * The sum of the tokens.
	 */
	private long tokens;

	/**
	 * Creates an empty cache.
	 * @param capacity the greatest number of tokens at present
	 */
	public PartCache(LongSupplier capacity) {
		this.capacity = capacity;
	}

	/**
	 * Returns how much of a prompt need not be read again.
	 * @param work the work
	 * @return the tokens of the kept parts from the first on
	 */
	public int kept(Work work) {
		int kept = 0;
		for (int index = 0; index < work.chain().length && this.parts.containsKey(work.chain()[index]); index++) {
			kept += work.parts().get(index).tokens();
		}
		return kept;
	}

	/**
	 * Notes that the engine has read a prompt.
	 * @param work the work
	 */
	public void read(Work work) {
		for (int index = 0; index < work.chain().length; index++) {
			int size = work.parts().get(index).tokens();
			if (this.parts.put(work.chain()[index], size) == null) {
				this.tokens += size;
			}
		}
		Iterator<Integer> oldest = this.parts.values().iterator();
		while (this.tokens > this.capacity.getAsLong() && oldest.hasNext()) {
			this.tokens -= oldest.next();
			oldest.remove();
		}
	}

}
