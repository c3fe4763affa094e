/**
 * The names by which VMs, data centres, organisations, upstreams and requests are told
 * apart.
 */
package org.ebonyford.identity;
