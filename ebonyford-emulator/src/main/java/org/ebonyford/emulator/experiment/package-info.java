/**
 * Measurements of what users care for, between real processes.
 */
package org.ebonyford.emulator.experiment;
