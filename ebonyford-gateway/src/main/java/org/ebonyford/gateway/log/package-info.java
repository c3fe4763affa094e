/**
 * Structured log lines and metrics.
 */
package org.ebonyford.gateway.log;
