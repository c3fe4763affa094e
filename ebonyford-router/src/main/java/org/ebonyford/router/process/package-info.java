/**
 * The router's process: its parts put together, started and stopped.
 */
package org.ebonyford.router.process;
