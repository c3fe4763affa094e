/**
 * The way of one request from a caller to upstreams and back.
 */
package org.ebonyford.gateway.exchange;
