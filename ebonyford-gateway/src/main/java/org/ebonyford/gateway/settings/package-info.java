/**
 * The checked settings of a gateway.
 */
package org.ebonyford.gateway.settings;
