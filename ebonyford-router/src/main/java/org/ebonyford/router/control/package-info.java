/**
 * The control stream of the log: the form of its records, and how operators' commands
 * read it and append to it.
 */
package org.ebonyford.router.control;
