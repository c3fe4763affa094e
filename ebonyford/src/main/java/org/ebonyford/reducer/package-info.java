/**
 * The one place in which all decisions of a router come together: events go in, effects
 * come out.
 */
package org.ebonyford.reducer;
