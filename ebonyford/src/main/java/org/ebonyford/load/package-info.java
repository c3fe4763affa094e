/**
 * What upstreams report about their load.
 */
package org.ebonyford.load;
