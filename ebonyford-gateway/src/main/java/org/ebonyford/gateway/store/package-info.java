/**
 * The platform's store as a gateway sees it: topics of keyed records that are read from
 * their newest state on.
 */
package org.ebonyford.gateway.store;
