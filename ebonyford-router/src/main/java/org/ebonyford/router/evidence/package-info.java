/**
 * Appends evidence to the log and checks the promises by it.
 */
package org.ebonyford.router.evidence;
