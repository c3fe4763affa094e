/**
 * Carries out the operator's orders to move services to other software versions.
 */
package org.ebonyford.gateway.rollout;
