package org.ebonyford.gateway.rollout;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreConflictException;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.store.StoreTopic;
import org.ebonyford.rollout.RolloutOrder;
import org.ebonyford.rollout.RolloutProgress;
import org.ebonyford.rollout.RolloutStatus;

/**
 * Writes the progress of roll-outs and the status for the operator. Each write is
 * conditional on what was read just before, so that of two writers one fails and reads
 * again, and a write whose answer was lost cannot take effect after a later one.
 */
final class RolloutWriter {

	/**
	 * The store.
	 */
	private final MetadataStore store;

	/**
	 * Encodes the status for the operator.
	 */
	private final StatusEncoder statusEncoder;

	/**
	 * Receives the newest progress records before each write.
	 */
	private final Consumer<StoreBatch> reader;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * The services whose progress is being written.
	 */
	private final Set<String> writingProgress = new HashSet<>();

	/**
	 * The services whose status is being written.
	 */
	private final Set<String> writingStatus = new HashSet<>();

	RolloutWriter(MetadataStore store, StatusEncoder statusEncoder, Consumer<StoreBatch> reader, EventLog log) {
		this.store = store;
		this.statusEncoder = statusEncoder;
		this.reader = reader;
		this.log = log;
	}

	/**
	 * Writes progress after the newest one has been read. A write without an answer is
	 * resolved by the read before the next one.
	 * @param rollout the roll-out
	 * @param next the progress
	 * @param written is called when the store has accepted it
	 */
	void writeProgress(ServiceRollout rollout, RolloutProgress next, Runnable written) {
		Optional<RolloutProgress> base = rollout.progress();
		String service = rollout.order().service();
		if (!this.writingProgress.add(service)) {
			return;
		}
		this.store.newest(StoreTopic.ROLLOUTS).thenCompose((batch) -> {
			this.reader.accept(batch);
			boolean stale = !rollout.progress().equals(base);
			boolean again = base.equals(Optional.of(next));
			if (stale || rollout.superseded() || again != rollout.storeBehind()) {
				return CompletableFuture.completedFuture(false);
			}
			return this.store
				.appendAt(StoreTopic.ROLLOUTS, service, Optional.of(ProgressCodec.encode(next)), batch.next())
				.thenApply((done) -> true);
		}).whenComplete((done, failure) -> {
			this.writingProgress.remove(service);
			if (failure != null) {
				logFailure(service, next.phase().name(), failure);
			}
			else if (done) {
				written.run();
			}
		});
	}

	/**
	 * Writes the status for the operator, unless it is published already or the progress
	 * has changed. The end of the topic is read before the progress: if another gateway
	 * writes a later status in between, the condition of this write does not hold.
	 * @param rollout the roll-out
	 * @param status the status that belongs to its progress
	 * @param written is called when the store has it
	 */
	void writeStatus(ServiceRollout rollout, RolloutStatus status, Consumer<Boolean> written) {
		RolloutOrder order = rollout.order();
		StoreRecord record = this.statusEncoder.encode(order, status);
		if (!this.writingStatus.add(order.service())) {
			return;
		}
		this.store.newest(StoreTopic.STATUS).thenCompose((batch) -> {
			boolean published = batch.records().stream().anyMatch((other) -> sameContent(other, record));
			return published ? CompletableFuture.completedFuture(Optional.of(false))
					: append(rollout, status, record, batch.next());
		}).whenComplete((done, failure) -> {
			this.writingStatus.remove(order.service());
			if (failure != null) {
				logFailure(order.service(), status.text(), failure);
			}
			else {
				done.ifPresent(written);
			}
		});
	}

	private CompletableFuture<Optional<Boolean>> append(ServiceRollout rollout, RolloutStatus status,
			StoreRecord record, long end) {
		return this.store.newest(StoreTopic.ROLLOUTS).thenCompose((batch) -> {
			this.reader.accept(batch);
			boolean current = rollout.progress()
				.map(RolloutProgress::phase)
				.map(RolloutStatus::of)
				.filter(status::equals)
				.isPresent();
			if (!current || rollout.superseded() || rollout.storeBehind()) {
				return CompletableFuture.completedFuture(Optional.empty());
			}
			return this.store.appendAt(StoreTopic.STATUS, record.key(), record.value(), end)
				.thenApply((done) -> Optional.of(true));
		});
	}

	private static boolean sameContent(StoreRecord one, StoreRecord other) {
		return one.key().equals(other.key()) && one.value().isPresent() && other.value().isPresent()
				&& Arrays.equals(one.value().get(), other.value().get());
	}

	private void logFailure(String service, String what, Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		this.log.write(LogLine.of(GatewayEvent.ROLLOUT_UNSAVED)
			.with("service", service)
			.with("content", what)
			.with("conflict", cause instanceof StoreConflictException)
			.with("reason", String.valueOf(cause)));
	}

}
