/**
 * What a router knows of the other routers: which processes live, and who knows something
 * newer.
 */
package org.ebonyford.peer;
