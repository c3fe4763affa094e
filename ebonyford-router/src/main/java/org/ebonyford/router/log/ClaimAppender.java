package org.ebonyford.router.log;

import java.util.concurrent.CompletionException;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.event.Event.AppendEnded.Result;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.EventSink;
import org.ebonyford.time.Clock;

/**
 * Carries out {@link Effect.AppendClaims} and reports how each append ended. Other
 * effects are ignored.
 */
public final class ClaimAppender implements EffectHandler {

	/**
	 * The client of the log service.
	 */
	private final LogClient client;

	/**
	 * Takes the ends of appends.
	 */
	private final EventSink sink;

	/**
	 * Tells when an append ended.
	 */
	private final Clock clock;

	/**
	 * Encodes statements.
	 */
	private final ClaimCodec codec = new ClaimCodec();

	/**
	 * Creates an appender.
	 * @param client the client of the log service
	 * @param sink takes the ends of appends
	 * @param clock tells when an append ended
	 */
	public ClaimAppender(LogClient client, EventSink sink, Clock clock) {
		this.client = client;
		this.sink = sink;
		this.clock = clock;
	}

	@Override
	public void handle(Effect effect) {
		if (effect instanceof Effect.AppendClaims append) {
			this.client.append(LogStreams.CLAIMS, this.codec.encode(append.records()))
				.whenComplete((offset, failure) -> report(append.append(), result(failure)));
		}
	}

	private void report(long append, Result result) {
		this.sink.accept(new Event.AppendEnded(this.clock.millis(), append, result));
	}

	private static Result result(Throwable failure) {
		if (failure == null) {
			return Result.APPENDED;
		}
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause instanceof LogException ex && !ex.effectPossible()) ? Result.FAILED : Result.UNKNOWN;
	}

}
