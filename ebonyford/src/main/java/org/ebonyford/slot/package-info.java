/**
 * The slots of upstreams: which router owns each of them and what occupies it.
 */
package org.ebonyford.slot;
