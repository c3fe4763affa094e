/**
 * Decides at which software version of its upstreams a stream may go on.
 */
package org.ebonyford.stream;
