/**
 * The router process and the command line.
 */
package org.ebonyford.router;
