/**
 * Decides which request runs on which upstream and when.
 */
package org.ebonyford.dispatch;
