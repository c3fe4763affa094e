/**
 * The VMs of the system and their data centres, as the platform lists them.
 */
package org.ebonyford.membership;
