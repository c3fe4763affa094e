/**
 * Concurrency limits of upstreams while they warm up.
 */
package org.ebonyford.warmup;
