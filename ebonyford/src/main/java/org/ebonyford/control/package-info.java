/**
 * The state that operators control, as a chain of versions in the log: the configuration
 * and what is taken out of service.
 */
package org.ebonyford.control;
