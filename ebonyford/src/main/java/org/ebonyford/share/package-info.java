/**
 * How the engines' tokens are shared among organisations: each gets what it asks up to a
 * common level, and who is below the level goes first.
 */
package org.ebonyford.share;
