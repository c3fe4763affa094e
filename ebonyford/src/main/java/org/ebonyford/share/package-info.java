/**
 * How the engines' tokens are shared among organisations: max-min fairness gives each
 * what it asks for up to a common level, and organisations below the level have priority.
 */
package org.ebonyford.share;
