/**
 * Detection of requests that crash upstreams, shared among gateways.
 */
package org.ebonyford.gateway.suspect;
