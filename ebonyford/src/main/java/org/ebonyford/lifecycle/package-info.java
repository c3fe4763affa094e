/**
 * The life of a router's process: when it takes requests, and how it stops without
 * cutting one.
 */
package org.ebonyford.lifecycle;
