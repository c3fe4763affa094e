/**
 * Tells the story of a request from the log lines of routers.
 */
package org.ebonyford.router.explain;
