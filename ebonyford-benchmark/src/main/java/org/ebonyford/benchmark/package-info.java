/**
 * Microbenchmarks of the decisions.
 */
package org.ebonyford.benchmark;
