package org.ebonyford.placement;

import java.util.List;

import org.ebonyford.directory.Rendezvous;

/**
 * The work of a request for an engine: its prompt and the tokens to generate.
 *
 * @param parts the parts of the prompt in order
 * @param promptTokens the number of prompt tokens
 * @param maxOutputTokens the maximum number of generated tokens
 * @param prefixHashes for each part, a hash of it and all parts before it
 */
public record Work(List<PromptPart> parts, int promptTokens, int maxOutputTokens, long[] prefixHashes) {

	/**
	 * The work of a request that is not for a model engine.
	 */
	public static final Work NONE = of(List.of(), 0, 0);

	/**
	 * The weight of a generated token relative to a prompt token in the platform's
	 * accounting.
	 */
	private static final long OUTPUT_TOKEN_WEIGHT = 2;

	/**
	 * Creates work.
	 * @param parts the parts of the prompt in order
	 * @param promptTokens the number of prompt tokens
	 * @param maxOutputTokens the maximum number of generated tokens
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
	 * @return the prompt tokens plus twice the maximum number of generated tokens
	 */
	public long shareTokens() {
		return this.promptTokens + OUTPUT_TOKEN_WEIGHT * this.maxOutputTokens;
	}

	/**
	 * Returns the KV cache that the request may need for itself. An engine stores the
	 * parts that requests share only once.
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
	 * Returns the identifiers of the parts that other requests may share, in order.
	 * @return the identifiers
	 */
	public List<Long> sharedPartIds() {
		return this.parts.stream().limit(sharedParts()).map(PromptPart::id).toList();
	}

	/**
	 * Returns a hash that identifies the whole prompt.
	 * @return the hash, 0 if there are no parts
	 */
	public long promptHash() {
		return this.parts.isEmpty() ? 0 : this.prefixHashes[this.prefixHashes.length - 1];
	}

	/**
	 * Returns the tokens of the parts that other requests may share.
	 * @return the number of tokens
	 */
	public int sharedTokens() {
		return this.parts.stream().limit(sharedParts()).mapToInt(PromptPart::tokens).sum();
	}

	/**
	 * Returns the key by which routers agree on the home engines of the shared parts.
	 * @return the hash of all shared parts, 0 if there are none
	 */
	public long homeKey() {
		return (sharedParts() == 0) ? 0 : this.prefixHashes[sharedParts() - 1];
	}

}
