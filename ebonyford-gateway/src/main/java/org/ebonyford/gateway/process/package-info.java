/**
 * The gateway process: event loop, view of the store, peering, start and shutdown.
 */
package org.ebonyford.gateway.process;
