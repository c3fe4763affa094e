/**
 * Everything that a router does, as data.
 */
package org.ebonyford.effect;
