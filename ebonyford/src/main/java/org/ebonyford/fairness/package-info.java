/**
 * The service that organisations got from each pool, and who is to be served next.
 */
package org.ebonyford.fairness;
