package org.ebonyford.placement;

/**
 * A part of a prompt. Requests can have parts in common, except for the last, which
 * belongs to the request or its session.
 *
 * @param id the identifier
 * @param tokens the number of tokens
 */
public record PromptPart(long id, int tokens) {
}
