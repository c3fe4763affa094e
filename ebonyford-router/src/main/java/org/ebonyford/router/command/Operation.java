package org.ebonyford.router.command;

/**
 * One command of the command line.
 */
interface Operation {

	/**
	 * Runs the command.
	 * @param environment what the command works with
	 * @return what the command answers
	 */
	Answer run(CommandEnvironment environment);

	/**
	 * Returns whether the answer is written for programs.
	 * @return {@code true} for JSON, {@code false} for text
	 */
	boolean json();

}
