package org.ebonyford.emulator.standin;

import org.ebonyford.emulator.fault.Faults;

/**
 * A small program that takes the place of a part of the platform or of an upstream.
 */
public interface StandIn extends AutoCloseable {

	/**
	 * Returns the name of the stand-in.
	 * @return the name, which is unique in its process
	 */
	String name();

	/**
	 * Returns where the stand-in is reached.
	 * @return the host and port
	 */
	String address();

	/**
	 * Returns the faults that are switched on.
	 * @return the faults
	 */
	Faults faults();

	/**
	 * Tells what really happened.
	 * @param detailed whether every single event is told
	 * @return a value that is written as JSON
	 */
	Object truth(boolean detailed);

	/**
	 * Carries out an order of a test.
	 * @param order the name of the order
	 * @param body the argument of the order
	 * @throws IllegalArgumentException if the stand-in knows no such order
	 */
	void order(String order, byte[] body);

	@Override
	void close();

}
