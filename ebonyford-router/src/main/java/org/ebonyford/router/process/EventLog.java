package org.ebonyford.router.process;

import java.util.logging.Level;

import com.google.common.flogger.FluentLogger;

import org.ebonyford.effect.Effect;
import org.ebonyford.log.LogEvent;
import org.ebonyford.router.EffectHandler;

/**
 * Writes numbered events to the log of the process, one line each.
 */
public enum EventLog implements EffectHandler {

	/**
	 * The singleton instance.
	 */
	INSTANCE;

	/**
	 * The writer of the log.
	 */
	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	@Override
	public void handle(Effect effect) {
		if (effect instanceof Effect.Note note) {
			write(note.event(), note.subject());
		}
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @param subject what the event is about, never a key or a body
	 */
	public void write(LogEvent event, String subject) {
		logger.at(level(event))
			.log("event=%s name=%s subject=\"%s\" meaning=\"%s\"", event.code(), event.name(), escaped(subject),
					event.meaning());
	}

	private static Level level(LogEvent event) {
		return (event.severity() != LogEvent.Severity.WARNING) ? Level.INFO : Level.WARNING;
	}

	private static String escaped(String subject) {
		return subject.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r");
	}

}
