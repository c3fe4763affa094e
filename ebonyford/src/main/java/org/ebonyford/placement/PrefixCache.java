package org.ebonyford.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The prompt parts that an engine is believed to keep, as far as this router sent them.
 * The least recently used parts yield, as they do at the engine.
 */
public final class PrefixCache {

	/**
	 * The greatest number of tokens that are believed to be kept.
	 */
	private final LongSupplier capacityTokens;

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
	 * @param capacityTokens the greatest number of tokens at present
	 */
	public PrefixCache(LongSupplier capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Returns how much of a prompt need not be read again.
	 * @param work the work
	 * @return the tokens of the kept parts from the first on
	 */
	public int cachedTokens(Work work) {
		int cached = 0;
		for (int index = 0; index < work.prefixHashes().length
				&& this.parts.containsKey(work.prefixHashes()[index]); index++) {
			cached += work.parts().get(index).tokens();
		}
		return cached;
	}

	/**
	 * Notes that the engine has read a prompt.
	 * @param work the work
	 */
	public void add(Work work) {
		for (int index = 0; index < work.prefixHashes().length; index++) {
			int size = work.parts().get(index).tokens();
			if (this.parts.put(work.prefixHashes()[index], size) == null) {
				this.tokens += size;
			}
		}
		Iterator<Integer> oldest = this.parts.values().iterator();
		while (this.tokens > this.capacityTokens.getAsLong() && oldest.hasNext()) {
			this.tokens -= oldest.next();
			oldest.remove();
		}
	}

}
