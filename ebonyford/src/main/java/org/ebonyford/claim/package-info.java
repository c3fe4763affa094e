/**
 * At-most-once execution: claims on idempotency keys in the log, and their outcomes.
 */
package org.ebonyford.claim;
