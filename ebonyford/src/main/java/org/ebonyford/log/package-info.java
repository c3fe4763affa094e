/**
 * The numbered events that routers write to their logs.
 */
package org.ebonyford.log;
