/**
 * Which routers own the slots of which upstreams, as one router sees the fleet.
 */
package org.ebonyford.topology;
