package org.ebonyford.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * A model of an engine's prefix cache: the prompt parts that the engine is assumed to
 * hold, as far as this router sent them. The least recently used parts are evicted first,
 * as in the engine.
 */
public final class PrefixCache {

	/**
	 * Supplies the maximum number of cached tokens.
	 */
	private final LongSupplier capacityTokens;

	/**
	 * The tokens of each part by its prefix hash, least recently used first.
	 */
	private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * The sum of the cached tokens.
	 */
	private long tokens;

	/**
	 * Creates an empty cache.
	 * @param capacityTokens supplies the current maximum number of tokens
	 */
	public PrefixCache(LongSupplier capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Returns how much of a prompt needs no prefill.
	 * @param work the work
	 * @return the tokens of its longest cached prefix
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
	 * Adds the parts of a prompt that the engine has prefilled.
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
