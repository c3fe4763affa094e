/**
 * The command line for operators and for starting a router.
 */
package org.ebonyford.router.command;
