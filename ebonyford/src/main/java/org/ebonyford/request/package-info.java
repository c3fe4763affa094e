/**
 * Requests, the ways in which they end, and what callers are told.
 */
package org.ebonyford.request;
