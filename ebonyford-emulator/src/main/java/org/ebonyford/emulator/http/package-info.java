/**
 * The HTTP server that the stand-ins answer through, without a thread for each open
 * exchange.
 */
package org.ebonyford.emulator.http;
