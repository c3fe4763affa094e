/**
 * Connections of callers: what they may send, and how answers reach them.
 */
package org.ebonyford.gateway.caller;
