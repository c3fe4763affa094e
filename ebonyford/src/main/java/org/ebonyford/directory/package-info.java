/**
 * Which upstreams and which routers there are, as the store and the peers tell it.
 */
package org.ebonyford.directory;
