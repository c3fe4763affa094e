/**
 * The age of the data that a router knows, measured with two clocks that do not fail in
 * the same way.
 */
package org.ebonyford.freshness;
