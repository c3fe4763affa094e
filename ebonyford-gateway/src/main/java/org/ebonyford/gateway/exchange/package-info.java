/**
 * Handles one request: authenticates and admits it, places it on an upstream, retries it
 * where allowed, and responds to the caller.
 */
package org.ebonyford.gateway.exchange;
