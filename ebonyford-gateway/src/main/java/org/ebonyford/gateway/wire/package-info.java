/**
 * What differs between the platforms on which a gateway runs: the names of headers, the
 * form of records, and the calls to the store.
 */
package org.ebonyford.gateway.wire;
