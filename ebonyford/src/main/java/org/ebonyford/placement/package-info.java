/**
 * Placement and admission of requests, from the load of the upstreams as reported by all
 * routers, the prefix caches of engines, and passive health checks.
 */
package org.ebonyford.placement;
