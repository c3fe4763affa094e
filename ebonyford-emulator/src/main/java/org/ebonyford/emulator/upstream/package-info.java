/**
 * Stand-ins for model engines and plain services.
 */
package org.ebonyford.emulator.upstream;
