/**
 * Connections to upstreams, to the store, and the pools that keep them.
 */
package org.ebonyford.gateway.http;
