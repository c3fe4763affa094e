/**
 * Faults that are switched on at a stand-in for its next calls or for a time.
 */
package org.ebonyford.emulator.fault;
