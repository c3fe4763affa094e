package org.ebonyford.emulator.site;

/**
 * How a command of the program ended.
 *
 * @param exitCode the exit code
 * @param output what the command wrote
 */
public record CommandResult(int exitCode, String output) {

}
