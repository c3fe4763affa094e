/**
 * Stand-ins for the platform: the append-only log service and the list of VMs.
 */
package org.ebonyford.emulator.platform;
