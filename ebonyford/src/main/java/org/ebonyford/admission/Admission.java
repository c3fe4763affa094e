package org.ebonyford.admission;

import java.util.Optional;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.Use;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;

/**
 * Checks a request against the configuration in force.
 */
@FunctionalInterface
public interface Admission {

	/**
	 * Checks a request.
	 * @param request the request
	 * @param configuration the configuration in force
	 * @return why the request is refused, or empty if it is not
	 */
	Optional<RefusalReason> check(Request request, Configuration configuration);

	/**
	 * Admits what the plan of the organisation may use.
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
