package org.ebonyford.admission;

import java.util.Optional;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.Use;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;

/**
 * Checks whether the configuration in force allows a request.
 */
@FunctionalInterface
public interface Admission {

	/**
	 * Checks a request.
	 * @param request the request
	 * @param configuration the configuration in force
	 * @return the reason for rejecting the request, or empty if it is allowed
	 */
	Optional<RefusalReason> check(Request request, Configuration configuration);

	/**
	 * Allows the pools and request classes that the plan of the organisation includes.
	 */
	enum ByPlan implements Admission {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public Optional<RefusalReason> check(Request request, Configuration configuration) {
			if (!configuration.pools().containsKey(request.pool())) {
				return Optional.of(RefusalReason.NO_SUCH_POOL);
			}
			Optional<Use> use = configuration.use(request.organisation(), request.pool());
			if (use.isEmpty() || !use.get().classes().contains(request.requestClass())) {
				return Optional.of(RefusalReason.NOT_ENTITLED);
			}
			return Optional.empty();
		}

	}

}
