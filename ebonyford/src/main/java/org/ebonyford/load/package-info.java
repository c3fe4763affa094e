/**
 * Load reports of upstreams.
 */
package org.ebonyford.load;
