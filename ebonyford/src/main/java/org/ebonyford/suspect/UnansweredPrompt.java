package org.ebonyford.suspect;

import java.util.List;

/**
 * A prompt that was at an upstream when it crashed, and whose answer had not begun or had
 * only just begun. Prompts whose answers were being written for longer did not crash it.
 *
 * @param id identifies the prompt; requests with the same prompt have the same identifier
 * @param parts the identifiers of the parts that other prompts may share, in order
 */
public record UnansweredPrompt(long id, List<Long> parts) {

	/**
	 * The maximum number of parts that are kept.
	 */
	public static final int MAX_PARTS = 64;

	/**
	 * Creates a prompt. The parts closest to the end are kept if there are too many, as
	 * they are shared by the fewest requests.
	 */
	public UnansweredPrompt {
		parts = List.copyOf(parts.subList(Math.max(parts.size() - MAX_PARTS, 0), parts.size()));
	}

}
