package org.ebonyford.emulator.experiment;

/**
 * One measured figure.
 *
 * @param deployment the deployment that it was measured on
 * @param experiment the experiment that measured it
 * @param quantity what was measured
 * @param value the figure
 * @param unit the unit of the figure
 */
public record Measurement(String deployment, String experiment, String quantity, double value, String unit) {

}
