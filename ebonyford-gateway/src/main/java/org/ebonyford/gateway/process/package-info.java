/**
 * The gateway process: its event loop, its beliefs, its start and its end.
 */
package org.ebonyford.gateway.process;
