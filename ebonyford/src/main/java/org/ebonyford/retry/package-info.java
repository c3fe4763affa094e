/**
 * Limits that hold for the fleet as a whole and are divided among its routers, so that
 * they hold even while routers cannot reach each other.
 */
package org.ebonyford.retry;
