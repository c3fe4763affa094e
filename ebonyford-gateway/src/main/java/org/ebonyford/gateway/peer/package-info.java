/**
 * Datagrams in which gateways exchange load, totals and crash reports.
 */
package org.ebonyford.gateway.peer;
