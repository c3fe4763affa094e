package org.ebonyford.router.evidence;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.ebonyford.effect.Effect;
import org.ebonyford.evidence.EvidenceBatch;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.log.LogClient;
import org.ebonyford.router.log.LogStreams;

/**
 * Carries out {@link Effect.AppendEvidence}. A batch is appended until the log service
 * confirms it, so that it may stand there twice. While the service is out of reach,
 * batches are kept up to a bound, beyond which the oldest are lost.
 */
public final class EvidenceAppender implements EffectHandler {

	/**
	 * The batches that are kept at most.
	 */
	private static final int MAX_KEPT = 600;

	/**
	 * The milliseconds between a failed append and the next one.
	 */
	private static final long RETRY_MILLIS = 1_000;

	/**
	 * The client of the log service.
	 */
	private final LogClient client;

	/**
	 * Runs the appends, one after another.
	 */
	private final ScheduledExecutorService executor;

	/**
	 * Encodes batches.
	 */
	private final EvidenceCodec codec = new EvidenceCodec();

	/**
	 * The batches that are not confirmed, the oldest first. Used by the executor alone.
	 */
	private final Deque<EvidenceBatch> kept = new ArrayDeque<>();

	/**
	 * Whether an append is in flight or a retry is due.
	 */
	private boolean busy;

	/**
	 * Creates an appender.
	 * @param client the client of the log service
	 * @param executor runs the appends on a single thread
	 */
	public EvidenceAppender(LogClient client, ScheduledExecutorService executor) {
		this.client = client;
		this.executor = executor;
	}

	@Override
	public void handle(Effect effect) {
		if (effect instanceof Effect.AppendEvidence append) {
			this.executor.execute(() -> take(append.batch()));
		}
	}

	private void take(EvidenceBatch batch) {
		this.kept.add(batch);
		if (this.kept.size() > MAX_KEPT) {
			this.kept.remove();
		}
		if (!this.busy) {
			append();
		}
	}

	private void append() {
		EvidenceBatch batch = this.kept.peek();
		this.busy = batch != null;
		if (this.busy) {
			this.client.append(LogStreams.EVIDENCE, this.codec.encode(batch))
				.whenComplete((offset, failure) -> this.executor.execute(() -> ended(batch, failure == null)));
		}
	}

	private void ended(EvidenceBatch batch, boolean confirmed) {
		if (confirmed) {
			this.kept.remove(batch);
			append();
		}
		else {
			this.executor.schedule(this::append, RETRY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

}
