package org.ebonyford.router.process;

import com.google.common.flogger.FluentLogger;

import org.ebonyford.effect.Effect;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.control.ControlRecordCodec;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.log.LogStreams;

/**
 * Appends control states anew. What becomes of an append is read from the log.
 */
final class ControlAppender implements EffectHandler {

	/**
	 * The writer of the log.
	 */
	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The client of the log service.
	 */
	private final LogClient client;

	/**
	 * Encodes the records.
	 */
	private final ControlRecordCodec codec;

	/**
	 * Creates an appender.
	 * @param client the client of the log service
	 * @param codec encodes the records
	 */
	ControlAppender(LogClient client, ControlRecordCodec codec) {
		this.client = client;
		this.codec = codec;
	}

	@Override
	public void handle(Effect effect) {
		if (effect instanceof Effect.AppendControl append) {
			this.client.append(LogStreams.CONTROL, this.codec.encode(append.record())).exceptionally((ex) -> {
				logger.atFine().withCause(ex).log("A control state could not be appended anew");
				return null;
			});
		}
	}

}
