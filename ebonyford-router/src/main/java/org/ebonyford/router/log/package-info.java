/**
 * The client of the platform's append-only log service.
 */
package org.ebonyford.router.log;
