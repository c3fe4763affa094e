package org.ebonyford.router;

/**
 * The entry point of the program.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs the program.
	 * @param arguments the command and its options
	 */
	public static void main(String[] arguments) {
		System.exit(0);
	}

}
