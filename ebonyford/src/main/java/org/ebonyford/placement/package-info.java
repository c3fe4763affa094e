/**
 * Where a request is placed, and whether it is taken: the upstreams' load as this router
 * and its peers know it, the prompt parts that engines keep, and the health that requests
 * reveal.
 */
package org.ebonyford.placement;
