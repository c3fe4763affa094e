/**
 * What all stand-ins have in common, and the process that runs them.
 */
package org.ebonyford.emulator.standin;
