package org.ebonyford.emulator.experiment;

/**
 * Measures something on a running site.
 */
@FunctionalInterface
interface Experiment {

	/**
	 * Makes the experiment and records its figures.
	 * @param bench the site and the record of figures
	 */
	void run(Bench bench);

}
