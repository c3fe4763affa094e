/**
 * The readers of what the platform and the upstreams tell: the list of VMs and the
 * reports of load.
 */
package org.ebonyford.router.platform;
