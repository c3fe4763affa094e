/**
 * Evidence of what a router did, from which each promise can be checked afterwards.
 */
package org.ebonyford.evidence;
