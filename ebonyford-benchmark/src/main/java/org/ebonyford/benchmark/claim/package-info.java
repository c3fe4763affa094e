/**
 * What claims cost: appends to the log, time added to a request, and memory.
 */
package org.ebonyford.benchmark.claim;
