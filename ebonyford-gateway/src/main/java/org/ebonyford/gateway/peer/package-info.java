/**
 * The messages by which gateways tell each other their load.
 */
package org.ebonyford.gateway.peer;
