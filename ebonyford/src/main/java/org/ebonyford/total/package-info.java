/**
 * What all routers together have put on upstreams and were asked for, added up by data
 * centre, so that each router knows it within a fraction of a second however many there
 * are.
 */
package org.ebonyford.total;
