/**
 * The data path towards upstreams: exchanges, the connections that they run on and the
 * checks that an answer is whole and belongs to its request.
 */
package org.ebonyford.router.upstream;
