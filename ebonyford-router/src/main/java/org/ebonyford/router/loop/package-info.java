/**
 * The one thread that applies all events and hands out their effects.
 */
package org.ebonyford.router.loop;
