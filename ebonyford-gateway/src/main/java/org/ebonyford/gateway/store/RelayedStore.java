package org.ebonyford.gateway.store;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ebonyford.gateway.http.HttpCalls;

/**
 * Reads topics through a peer while there is one that relays, and from the store itself
 * otherwise or if the peer fails. Calls to the store then do not grow with the number of
 * gateways.
 */
public final class RelayedStore implements MetadataStore {

	/**
	 * The least time in milliseconds for which a relay may wait for a record: many short
	 * waits would cost it more than the store saves.
	 */
	private static final long LEAST_WAIT_MILLIS = 600;

	/**
	 * The longest time in milliseconds for the relay's answer beyond its wait: many round
	 * trips within a region.
	 */
	private static final long TIMEOUT_MILLIS = 400;

	/**
	 * The status code of a success.
	 */
	private static final int OK = 200;

	/**
	 * The store.
	 */
	private final MetadataStore store;

	/**
	 * The calls.
	 */
	private final HttpCalls calls;

	/**
	 * The address of the peer that relays at present.
	 */
	private final Supplier<Optional<InetSocketAddress>> relay;

	/**
	 * Is told of the relay's failures.
	 */
	private final Listener listener;

	/**
	 * The newest era of the store that an answer told.
	 */
	private long newestEra;

	/**
	 * Whether the last read through a relay failed.
	 */
	private boolean relayFailing;

	/**
	 * Creates a store that is read through peers.
	 * @param store the store
	 * @param calls makes the calls to peers
	 * @param relay the address of the peer that relays at present
	 * @param listener is told of the relay's failures
	 */
	public RelayedStore(MetadataStore store, HttpCalls calls, Supplier<Optional<InetSocketAddress>> relay,
			Listener listener) {
		this.store = store;
		this.calls = calls;
		this.relay = relay;
		this.listener = listener;
	}

	@Override
	public CompletableFuture<StoreBatch> newest(StoreTopic topic) {
		return this.store.newest(topic).thenApply(this::recordEra);
	}

	private StoreBatch recordEra(StoreBatch batch) {
		this.newestEra = Math.max(this.newestEra, batch.era());
		return batch;
	}

	@Override
	public CompletableFuture<StoreBatch> read(StoreTopic topic, long from, long waitMillis) {
		Optional<InetSocketAddress> peer = this.relay.get();
		if (peer.isEmpty()) {
			return this.store.read(topic, from, waitMillis).thenApply(this::recordEra);
		}
		long wait = Math.max(waitMillis, LEAST_WAIT_MILLIS);
		HttpCalls.Call call = HttpCalls.Call.get(RelayServer.uri(topic, from, wait));
		CompletableFuture<StoreBatch> answer = new CompletableFuture<>();
		this.calls.call(peer.get(), call, wait + TIMEOUT_MILLIS)
			.thenApply((relayed) -> batch(topic, relayed))
			.whenComplete((batch, failure) -> {
				recordRelay(topic, peer.get(), failure);
				if (failure == null) {
					answer.complete(batch);
				}
				else {
					direct(topic, from, waitMillis, answer);
				}
			});
		return answer;
	}

	private void recordRelay(StoreTopic topic, InetSocketAddress peer, Throwable failure) {
		if (failure != null && !this.relayFailing) {
			this.listener.relayFailed(topic, peer, failure);
		}
		this.relayFailing = failure != null;
	}

	@Override
	public CompletableFuture<StoreBatch> readNow(StoreTopic topic, long from) {
		return this.store.readNow(topic, from).thenApply(this::recordEra);
	}

	/**
	 * Reads from the store itself. The wait keeps a relay that fails at once from being
	 * asked in a loop.
	 * @param topic the topic
	 * @param from the offset of the first record
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @param answer completes with the records
	 */
	private void direct(StoreTopic topic, long from, long waitMillis, CompletableFuture<StoreBatch> answer) {
		this.store.read(topic, from, waitMillis).thenApply(this::recordEra).whenComplete((batch, failure) -> {
			if (failure == null) {
				answer.complete(batch);
			}
			else {
				answer.completeExceptionally(failure);
			}
		});
	}

	private StoreBatch batch(StoreTopic topic, HttpCalls.Answer answer) {
		if (answer.status() != OK) {
			throw new StoreException("The relay answered " + answer.status(), false);
		}
		StoreBatch batch = RelayCodec.decode(answer.body());
		if (batch.ageMillis() > topic.maxRelayedAgeMillis()) {
			throw new StoreException("The relay has lost the store", false);
		}
		if (batch.era() < this.newestEra) {
			throw new StoreException("The relay has not noticed that the store came back from an older copy", false);
		}
		return recordEra(batch);
	}

	@Override
	public CompletableFuture<Void> append(StoreTopic topic, String key, Optional<byte[]> value) {
		return this.store.append(topic, key, value);
	}

	@Override
	public CompletableFuture<Void> appendAt(StoreTopic topic, String key, Optional<byte[]> value, long at) {
		return this.store.appendAt(topic, key, value, at);
	}

	/**
	 * Is told of the relay's failures.
	 */
	public interface Listener {

		/**
		 * Notes that a read through the relay failed after others had succeeded. The
		 * store is read instead.
		 * @param topic the topic
		 * @param relay the address of the relay
		 * @param cause why
		 */
		void relayFailed(StoreTopic topic, InetSocketAddress relay, Throwable cause);

	}

}
