/**
 * What the operator has put in force: routes, services, limits, and the keys of the
 * organisations. A version of it is one immutable value.
 */
package org.ebonyford.catalog;
