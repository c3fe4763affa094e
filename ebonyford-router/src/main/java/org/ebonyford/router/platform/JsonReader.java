package org.ebonyford.router.platform;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;

/**
 * Reads JSON documents over HTTP.
 */
public final class JsonReader {

	/**
	 * The connections to one address.
	 */
	private static final int MAX_CONNECTIONS_EACH = 2;

	/**
	 * The connections to all addresses.
	 */
	private static final int MAX_CONNECTIONS = 4_096;

	/**
	 * The client that carries the calls.
	 */
	private final CloseableHttpAsyncClient client;

	/**
	 * Reads the documents.
	 */
	private final ObjectMapper mapper;

	/**
	 * Creates a client for readers, which gives each address its own few connections.
	 * @param connectMillis the milliseconds within which a connection must be made
	 * @return the started client
	 */
	public static CloseableHttpAsyncClient client(long connectMillis) {
		ConnectionConfig connections = ConnectionConfig.custom()
			.setConnectTimeout(Timeout.ofMilliseconds(connectMillis))
			.build();
		CloseableHttpAsyncClient client = HttpAsyncClients.custom()
			.setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
				.setDefaultConnectionConfig(connections)
				.setMaxConnPerRoute(MAX_CONNECTIONS_EACH)
				.setMaxConnTotal(MAX_CONNECTIONS)
				.build())
			.setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(1).build())
			.disableAutomaticRetries()
			.disableCookieManagement()
			.build();
		client.start();
		return client;
	}

	/**
	 * Creates a reader.
	 * @param client the client that carries the calls
	 * @param mapper reads the documents
	 */
	public JsonReader(CloseableHttpAsyncClient client, ObjectMapper mapper) {
		this.client = client;
		this.mapper = mapper;
	}

	/**
	 * Reads a document.
	 * @param <T> the type of the document
	 * @param uri the address of the document
	 * @param type the type of the document
	 * @param timeoutMillis the milliseconds within which the answer must come
	 * @return the document, or a failure with an {@link IOException}
	 */
	public <T> CompletableFuture<T> read(String uri, Class<T> type, long timeoutMillis) {
		SimpleHttpRequest request = SimpleRequestBuilder.get(uri).build();
		request.setConfig(RequestConfig.custom()
			.setResponseTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.setConnectionRequestTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.build());
		CompletableFuture<SimpleHttpResponse> answer = new CompletableFuture<>();
		try {
			Future<SimpleHttpResponse> call = this.client.execute(request, new Completion(answer));
			return answer.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
				.whenComplete((response, ex) -> endUnanswered(call, ex))
				.thenCompose((response) -> parse(uri, response, type));
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	/**
	 * Closes the connection of a call that got no answer. The connection of an answered
	 * call is kept for the next one, which cancelling would close.
	 * @param call the call
	 * @param failure why it got no answer, {@code null} if it got one
	 */
	private static void endUnanswered(Future<SimpleHttpResponse> call, Throwable failure) {
		if (failure != null) {
			call.cancel(true);
		}
	}

	private <T> CompletableFuture<T> parse(String uri, SimpleHttpResponse response, Class<T> type) {
		if (response.getCode() != HttpStatus.SC_OK) {
			return CompletableFuture.failedFuture(new IOException(uri + " answered " + response.getCode()));
		}
		try {
			return CompletableFuture.completedFuture(this.mapper.readValue(response.getBodyBytes(), type));
		}
		catch (IOException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	/**
	 * Completes a future with the end of a call.
	 *
	 * @param answer the future
	 */
	private record Completion(
			CompletableFuture<SimpleHttpResponse> answer) implements FutureCallback<SimpleHttpResponse> {

		@Override
		public void completed(SimpleHttpResponse response) {
			this.answer.complete(response);
		}

		@Override
		public void failed(Exception ex) {
			this.answer.completeExceptionally(ex);
		}

		@Override
		public void cancelled() {
			this.answer.cancel(false);
		}

	}

}
