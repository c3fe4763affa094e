/**
 * Requests that are suspected of crashing the upstreams that run them.
 */
package org.ebonyford.suspect;
