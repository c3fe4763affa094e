/**
 * Processes that a test or a demonstration starts, disturbs and ends.
 */
package org.ebonyford.emulator.process;
