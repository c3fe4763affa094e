/**
 * Findings about files that people write, each with its place, collected and reported
 * together.
 */
package org.ebonyford.finding;
