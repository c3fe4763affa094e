/**
 * Decides at which software version of its upstreams a stream may go on, and which
 * streams are copied to a second engine that continues them if the first is lost.
 */
package org.ebonyford.stream;
