/**
 * How old a router's knowledge is, by two clocks that do not fail in the same way.
 */
package org.ebonyford.freshness;
