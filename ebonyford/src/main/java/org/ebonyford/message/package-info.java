/**
 * The messages between routers.
 */
package org.ebonyford.message;
