/**
 * The counts that stand-ins keep of what really ran.
 */
package org.ebonyford.emulator.truth;
