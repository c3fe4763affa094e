package org.ebonyford.router;

import org.ebonyford.event.Event;

/**
 * Takes events from any thread and has them applied one after another.
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Takes an event.
	 * @param event the event
	 */
	void accept(Event event);

}
