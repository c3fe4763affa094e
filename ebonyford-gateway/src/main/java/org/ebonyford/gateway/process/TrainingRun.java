package org.ebonyford.gateway.process;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.sun.net.httpserver.HttpServer;

import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.settings.GatewaySettings;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.store.StoreTopic;
import org.ebonyford.gateway.wire.Adapter;
import org.ebonyford.rollout.RolloutSettings;
import org.ebonyford.time.Clock;

/**
 * Training run for the class data archive: serves one request within one process, so that
 * the build can archive the classes that serving loads. A gateway started with the
 * archive is ready sooner, which matters when many are killed at once.
 */
public final class TrainingRun {

	/**
	 * Time in milliseconds within which the request has to succeed.
	 */
	private static final long TIMEOUT_MILLIS = 10_000;

	/**
	 * Time in milliseconds between two attempts.
	 */
	private static final long RETRY_INTERVAL_MILLIS = 50;

	/**
	 * The adapter to the platform.
	 */
	private final Adapter adapter;

	/**
	 * The store's records and the caller's request.
	 */
	private final Fixture fixture;

	/**
	 * Creates a training run.
	 * @param adapter the adapter to the platform
	 * @param fixture the store's records and the caller's request
	 */
	public TrainingRun(Adapter adapter, Fixture fixture) {
		this.adapter = adapter;
		this.fixture = fixture;
	}

	/**
	 * Serves one request.
	 * @return whether it succeeded
	 * @throws IOException if no loopback address can be bound
	 */
	public boolean run() throws IOException {
		InetAddress loopback = InetAddress.getLoopbackAddress();
		HttpServer upstream = HttpServer.create(new InetSocketAddress(loopback, 0), 0);
		upstream.createContext("/", (exchange) -> {
			String requestId = this.adapter.headers().requestId();
			exchange.getResponseHeaders().set(requestId, exchange.getRequestHeaders().getFirst(requestId));
			exchange.getResponseHeaders().set(this.adapter.headers().seal(), "rehearsed");
			exchange.sendResponseHeaders(200, 0);
			exchange.getResponseBody().write("id: 1\ndata: x\n\n".getBytes(StandardCharsets.US_ASCII));
			exchange.close();
		});
		upstream.start();
		InetSocketAddress any = new InetSocketAddress(loopback, 0);
		GatewaySettings settings = new GatewaySettings("rehearsal", "dc", any, any, any, any, any, any, 1_024, 5_000,
				8_000, 0.2, 10, 10_000, 1, 0, 4_000, 0.35, Set.of(), false, RolloutSettings.DEFAULT);
		Gateway gateway = new Gateway(settings, new FixedStoreAdapter(this.adapter, store(upstream.getAddress())),
				Clock.ForSystem.INSTANCE, Clock.ForEpoch.INSTANCE,
				new EventLog("rehearsal", Clock.ForEpoch.INSTANCE, new PrintStream(PrintStream.nullOutputStream())));
		Map<String, InetSocketAddress> bound = gateway.start();
		boolean answered = await(bound.get("callers"));
		call(bound.get("readiness"), "GET " + this.adapter.readinessPath() + " HTTP/1.1\r\nHost: x\r\n");
		call(bound.get("metrics"), "GET /metrics HTTP/1.1\r\nHost: x\r\n");
		gateway.close();
		upstream.stop(0);
		return answered;
	}

	private MetadataStore store(InetSocketAddress upstream) {
		Map<StoreTopic, StoreRecord> records = Map.of(StoreTopic.OPERATOR, this.fixture.configuration(),
				StoreTopic.UPSTREAMS, this.fixture.upstream(upstream), StoreTopic.GATEWAYS,
				new StoreRecord("10.0.0.1:7400", Optional.of(new byte[] { 'x' })));
		return new MetadataStore() {
			@Override
			public CompletableFuture<StoreBatch> newest(StoreTopic topic) {
				return CompletableFuture
					.completedFuture(new StoreBatch(Optional.ofNullable(records.get(topic)).stream().toList(), 1));
			}

			@Override
			public CompletableFuture<StoreBatch> read(StoreTopic topic, long from, long waitMillis) {
				return new CompletableFuture<>();
			}

			@Override
			public CompletableFuture<Void> append(StoreTopic topic, String key, Optional<byte[]> value) {
				return CompletableFuture.completedFuture(null);
			}
		};
	}

	private boolean await(InetSocketAddress callers) throws IOException {
		for (long waited = 0; waited < TIMEOUT_MILLIS; waited += RETRY_INTERVAL_MILLIS) {
			if (call(callers, this.fixture.request()).startsWith("HTTP/1.1 200")) {
				return true;
			}
			try {
				Thread.sleep(RETRY_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return false;
	}

	private static String call(InetSocketAddress address, String head) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.getOutputStream().write((head + "Connection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	/**
	 * The store's records and the caller's request.
	 */
	public interface Fixture {

		/**
		 * Returns the record of the configuration.
		 * @return the record
		 */
		StoreRecord configuration();

		/**
		 * Returns the record of the upstream.
		 * @param address its address
		 * @return the record
		 */
		StoreRecord upstream(InetSocketAddress address);

		/**
		 * Returns the request.
		 * @return its head without the Connection header and the final empty line
		 */
		String request();

	}

}
