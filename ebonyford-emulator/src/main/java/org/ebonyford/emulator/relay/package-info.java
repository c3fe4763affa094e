/**
 * Relays of TCP connections, by which routers, platform and upstreams are cut from each
 * other.
 */
package org.ebonyford.emulator.relay;
