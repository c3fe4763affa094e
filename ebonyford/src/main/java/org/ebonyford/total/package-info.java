/**
 * Totals of upstream load and organisations' usage over all routers, aggregated by data
 * centre, so that each router knows them within a fraction of a second at any fleet size.
 */
package org.ebonyford.total;
