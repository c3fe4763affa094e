package org.ebonyford.catalog;

/**
 * What the model engines of a service hold at once.
 *
 * @param slots the number of requests that an engine processes at once
 * @param memoryTokens the number of tokens for which an engine has memory
 * @param transfers whether engines transfer the memory of tokens between them
 * @param backups whether an engine copies the memory of a running request to another
 * engine that can continue the run
 * @param moves whether the memory of a running request can be moved to another engine
 */
public record EngineProfile(int slots, long memoryTokens, boolean transfers, boolean backups, boolean moves) {
}
