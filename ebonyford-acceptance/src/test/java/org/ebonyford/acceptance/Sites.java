package org.ebonyford.acceptance;

import java.util.List;

import org.ebonyford.emulator.load.CallSpec;
import org.ebonyford.emulator.site.Deployment;

/**
 * The sites that tests run.
 */
final class Sites {

	/**
	 * The large organisation.
	 */
	static final Deployment.Organisation PAWS = new Deployment.Organisation("dalagul-paws", "large");

	/**
	 * The small organisation.
	 */
	static final Deployment.Organisation LEVI = new Deployment.Organisation("lumitieto-levi", "small");

	/**
	 * The pool of engines.
	 */
	static final String ENGINES = "llm";

	/**
	 * The pool of services.
	 */
	static final String SERVICES = "booking-core";

	private Sites() {
	}

	/**
	 * Returns a small deployment of three routers in two data centres.
	 * @return the deployment
	 */
	static Deployment small() {
		return Deployment.dalagul()
			.withDataCentres("kz-south-a", "kz-south-b")
			.withRouters(3)
			.withPools(Deployment.Pool.engines(ENGINES, 4), Deployment.Pool.services(SERVICES, 2))
			.withCustomers(List.of(new Deployment.Plan("large", 4, 500), new Deployment.Plan("small", 1, 500)),
					List.of(PAWS, LEVI));
	}

	/**
	 * Returns a request for a completion.
	 * @param number the number of the request, which decides what it asks and who asks
	 * @return the request
	 */
	static CallSpec chat(long number) {
		return CallSpec.chat(organisation(number), ENGINES, "Question " + number, number % 2 == 0);
	}

	/**
	 * Returns a booking, which may not be repeated.
	 * @param number the number of the booking
	 * @return the request
	 */
	static CallSpec booking(long number) {
		return CallSpec.call(organisation(number), SERVICES, "/bookings", "booking " + number).once("key-" + number);
	}

	/**
	 * Returns a call that may be repeated.
	 * @param number the number of the call
	 * @return the request
	 */
	static CallSpec quote(long number) {
		return CallSpec.call(organisation(number), SERVICES, "/quotes?number=" + number, "quote");
	}

	private static Deployment.Organisation organisation(long number) {
		return (number % 3 == 0) ? LEVI : PAWS;
	}

}
