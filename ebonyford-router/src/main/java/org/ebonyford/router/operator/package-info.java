/**
 * The interface for operators and for the platform's balancer: health, readiness, status
 * and metrics.
 */
package org.ebonyford.router.operator;
