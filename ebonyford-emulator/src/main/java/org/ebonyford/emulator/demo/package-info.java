/**
 * A demonstration of the whole path between real processes.
 */
package org.ebonyford.emulator.demo;
