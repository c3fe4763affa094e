package org.ebonyford.router.log;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;

/**
 * A client of the log service over HTTP. It never repeats a call by itself, since an
 * append whose answer was lost may have taken effect.
 */
public final class HttpLogClient implements LogClient, AutoCloseable {

	/**
	 * The connections to the service that one client keeps at most.
	 */
	private static final int MAX_CONNECTIONS = 16;

	/**
	 * The HTTP client.
	 */
	private final CloseableHttpAsyncClient client;

	/**
	 * The address of the service.
	 */
	private final URI service;

	/**
	 * How long to wait for the service.
	 */
	private final LogTimeouts timeouts;

	/**
	 * Reads the service's answers.
	 */
	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	/**
	 * Creates a client.
	 * @param client the started HTTP client, which must not repeat calls by itself and is
	 * closed with this one
	 * @param service the address of the service, such as {@code http://10.0.0.1:9000}
	 * @param timeouts how long to wait for the service
	 */
	HttpLogClient(CloseableHttpAsyncClient client, URI service, LogTimeouts timeouts) {
		this.client = client;
		this.service = service;
		this.timeouts = timeouts;
	}

	/**
	 * Creates a client with connections of its own.
	 * @param service the address of the service, such as {@code http://10.0.0.1:9000}
	 * @param timeouts how long to wait for the service
	 * @return the started client
	 */
	public static HttpLogClient of(URI service, LogTimeouts timeouts) {
		ConnectionConfig connections = ConnectionConfig.custom()
			.setConnectTimeout(Timeout.ofMilliseconds(timeouts.connectMillis()))
			.build();
		CloseableHttpAsyncClient client = HttpAsyncClients.custom()
			.setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
				.setDefaultConnectionConfig(connections)
				.setMaxConnPerRoute(MAX_CONNECTIONS)
				.setMaxConnTotal(MAX_CONNECTIONS)
				.build())
			.setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(1).build())
			.disableAutomaticRetries()
			.disableRedirectHandling()
			.disableCookieManagement()
			.build();
		client.start();
		return new HttpLogClient(client, service, timeouts);
	}

	@Override
	public CompletableFuture<Long> append(String stream, byte[] body) {
		SimpleHttpRequest request = SimpleRequestBuilder.post(records(stream))
			.setBody(body, ContentType.APPLICATION_OCTET_STREAM)
			.build();
		return exchange(request, this.timeouts.appendMillis()).thenApply(this::appended);
	}

	@Override
	public CompletableFuture<LogSlice> read(String stream, long from, int limit, long waitMillis) {
		SimpleHttpRequest request = SimpleRequestBuilder.get(records(stream))
			.addParameter("from", Long.toString(from))
			.addParameter("limit", Integer.toString(limit))
			.addParameter("wait", Long.toString(waitMillis))
			.build();
		return exchange(request, waitMillis + this.timeouts.readMillis()).thenApply(this::slice);
	}

	@Override
	public void close() {
		this.client.close(CloseMode.IMMEDIATE);
	}

	private URI records(String stream) {
		return this.service.resolve("/streams/" + stream + "/records");
	}

	private CompletableFuture<SimpleHttpResponse> exchange(SimpleHttpRequest request, long timeoutMillis) {
		request.setConfig(RequestConfig.custom()
			.setResponseTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.setConnectionRequestTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.build());
		CompletableFuture<SimpleHttpResponse> response = new CompletableFuture<>();
		Future<SimpleHttpResponse> running = this.client.execute(request, new Completion(response));
		return response.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).whenComplete((answer, failure) -> {
			if (failure != null) {
				running.cancel(true);
			}
		}).exceptionally(HttpLogClient::fail);
	}

	private static SimpleHttpResponse fail(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		throw new LogException("The log service gave no answer", !neverConnected(cause), cause);
	}

	private static boolean neverConnected(Throwable cause) {
		return cause instanceof ConnectException || cause instanceof ConnectTimeoutException
				|| cause instanceof UnknownHostException;
	}

	private long appended(SimpleHttpResponse response) {
		requireStatus(response, HttpStatus.SC_CREATED);
		return body(response, Appended.class).offset();
	}

	private LogSlice slice(SimpleHttpResponse response) {
		requireStatus(response, HttpStatus.SC_OK);
		Slice slice = body(response, Slice.class);
		List<LogSlice.LogRecord> records = slice.records()
			.stream()
			.map((line) -> new LogSlice.LogRecord(line.offset(), line.time(), line.body()))
			.toList();
		return new LogSlice(slice.first(), slice.next(), slice.end(), records);
	}

	private static void requireStatus(SimpleHttpResponse response, int expected) {
		if (response.getCode() != expected) {
			throw new LogException("The log service answered with status " + response.getCode(),
					response.getCode() != HttpStatus.SC_SERVICE_UNAVAILABLE, null);
		}
	}

	private <T> T body(SimpleHttpResponse response, Class<T> type) {
		try {
			return this.mapper.readValue(response.getBodyBytes(), type);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new LogException("The log service gave an answer that cannot be read", true, ex);
		}
	}

	/**
	 * The service's answer to an append.
	 *
	 * @param offset the offset of the record
	 */
	record Appended(long offset) {

	}

	/**
	 * The service's answer to a read.
	 *
	 * @param first the lowest offset that the log still keeps
	 * @param next the offset that follows the last record of the slice
	 * @param end the offset that follows the last record in the log
	 * @param records the records
	 */
	record Slice(long first, long next, long end, List<Line> records) {

		/**
		 * Creates an answer.
		 */
		Slice {
			records = (records != null) ? List.copyOf(records) : List.of();
		}

	}

	/**
	 * One record in the service's answer to a read.
	 *
	 * @param offset the offset of the record
	 * @param time the time of the append in milliseconds since the epoch
	 * @param body the body, which stands in the answer in Base64
	 */
	record Line(long offset, long time, byte[] body) {

	}

	/**
	 * Completes a future with the end of an exchange.
	 *
	 * @param future the future
	 */
	private record Completion(
			CompletableFuture<SimpleHttpResponse> future) implements FutureCallback<SimpleHttpResponse> {

		@Override
		public void completed(SimpleHttpResponse response) {
			this.future.complete(response);
		}

		@Override
		public void failed(Exception ex) {
			this.future.completeExceptionally(ex);
		}

		@Override
		public void cancelled() {
			this.future.cancel(false);
		}

	}

}
