/**
 * A whole site of real processes: stand-ins, routers and the network between them.
 */
package org.ebonyford.emulator.site;
