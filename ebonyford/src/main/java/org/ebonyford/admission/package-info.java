/**
 * The checks that a request passes before it may wait for an upstream.
 */
package org.ebonyford.admission;
