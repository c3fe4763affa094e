/**
 * The lifecycle and overload protection of a router's process: when it is ready, which
 * requests it admits while it lags, and how it stops without interrupting one.
 */
package org.ebonyford.lifecycle;
