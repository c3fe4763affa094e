/**
 * The clock that every decision of a router is timed by.
 */
package org.ebonyford.time;
