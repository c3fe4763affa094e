/**
 * How much work an upstream bears while it warms up.
 */
package org.ebonyford.warmup;
