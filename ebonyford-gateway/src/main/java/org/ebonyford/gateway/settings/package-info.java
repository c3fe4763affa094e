/**
 * The settings of a gateway, read from an INI file and validated.
 */
package org.ebonyford.gateway.settings;
