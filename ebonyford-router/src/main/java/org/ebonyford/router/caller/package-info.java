/**
 * The data path towards callers: an asynchronous servlet, the requests that it holds and
 * the answers that they get.
 */
package org.ebonyford.router.caller;
