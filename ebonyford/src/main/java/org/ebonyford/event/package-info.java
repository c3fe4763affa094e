/**
 * Everything that happens to a router, as data.
 */
package org.ebonyford.event;
