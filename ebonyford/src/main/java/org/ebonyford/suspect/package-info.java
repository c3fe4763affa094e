/**
 * Detection of requests that crash the upstreams that run them.
 */
package org.ebonyford.suspect;
