package org.ebonyford.placement;

/**
 * A part of a prompt. Requests share parts; the last part belongs to the request itself
 * or to its session.
 *
 * @param id the identifier
 * @param tokens the number of tokens
 */
public record PromptPart(long id, int tokens) {
}
