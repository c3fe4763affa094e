package org.ebonyford.configuration;

import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PlanId;

/**
 * A customer of the operator.
 *
 * @param id the name of the organisation
 * @param plan the plan that the organisation subscribes to
 * @param keyDigest the SHA-256 digest of the organisation's key in lower-case hexadecimal
 * digits
 */
public record Organisation(OrganisationId id, PlanId plan, String keyDigest) {

}
