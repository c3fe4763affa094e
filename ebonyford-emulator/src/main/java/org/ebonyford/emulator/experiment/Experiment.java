package org.ebonyford.emulator.experiment;

import org.ebonyford.emulator.site.Deployment;
import org.ebonyford.emulator.site.Site;

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

	/**
	 * Describes the site that the experiment needs.
	 * @param deployment the deployment
	 * @return the site, which is the usual one unless the experiment says otherwise
	 */
	default Site.Builder site(Deployment deployment) {
		return Site.of(deployment);
	}

}
