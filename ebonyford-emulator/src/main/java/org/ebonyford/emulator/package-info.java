/**
 * Stand-ins for the platform and the upstreams.
 */
package org.ebonyford.emulator;
