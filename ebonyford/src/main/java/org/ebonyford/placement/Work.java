package org.ebonyford.placement;

import java.util.List;

import org.ebonyford.directory.Rendezvous;

/**
 * What a request asks of an engine.
 *
 * @param parts the parts of the prompt in order
 * @param promptTokens the number of prompt tokens
 * @param maxOutputTokens the greatest number of generated tokens
 * @param prefixHashes a hash for each part that stands for it and all parts before it
 */
public record Work(List<PromptPart> parts, int promptTokens, int maxOutputTokens, long[] prefixHashes) {

	/**
	 * The work of a request that is not for a model engine.
	 */
	public static final Work NONE = of(List.of(), 0, 0);

	/**
	 * The weight of a generated token against one that is read, as the platform counts.
	 */
	private static final long OUTPUT_TOKEN_WEIGHT = 2;

	/**
	 * Creates work.
	 * @param parts the parts of the prompt in order
	 * @param promptTokens the number of prompt tokens
	 * @param maxOutputTokens the greatest number of generated tokens
	 * @return the work
	 */
	public static Work of(List<PromptPart> parts, int promptTokens, int maxOutputTokens) {
		long[] prefixHashes = new long[parts.size()];
		long prefixHash = 0;
		for (int index = 0; index < prefixHashes.length; index++) {
			prefixHash = Rendezvous.weight(prefixHash, parts.get(index).id());
			prefixHashes[index] = prefixHash;
		}
		return new Work(List.copyOf(parts), promptTokens, maxOutputTokens, prefixHashes);
	}

	/**
	 * Returns the tokens that count against an organisation's share.
	 * @return tokens read once and generated twice
	 */
	public long shareTokens() {
		return this.promptTokens + OUTPUT_TOKEN_WEIGHT * this.maxOutputTokens;
	}

	/**
	 * Returns the memory that the request may need for itself. An engine keeps the parts
	 * that requests share only once.
	 * @return the number of tokens
	 */
	public long memoryTokens() {
		return Math.max((long) this.promptTokens - sharedTokens(), 0) + this.maxOutputTokens;
	}

	/**
	 * Returns the number of parts that other requests may share.
	 * @return all parts but the last
	 */
	public int sharedParts() {
		return Math.max(this.parts.size() - 1, 0);
	}

	/**
	 * Returns the tokens of the parts that other requests may share.
	 * @return the number of tokens
	 */
	public int sharedTokens() {
		return this.parts.stream().limit(sharedParts()).mapToInt(PromptPart::tokens).sum();
	}

	/**
	 * Returns the key by which routers agree on the engine that keeps the shared parts.
	 * @return the hash of all shared parts, 0 if there are none
	 */
	public long homeKey() {
		return (sharedParts() == 0) ? 0 : this.prefixHashes[sharedParts() - 1];
	}

}
