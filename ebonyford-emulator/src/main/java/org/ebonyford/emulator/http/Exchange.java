package org.ebonyford.emulator.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/**
 * One call and its answer.
 */
public final class Exchange {

	/**
	 * The largest body that is read.
	 */
	private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	/**
	 * The call.
	 */
	private final Request request;

	/**
	 * The answer.
	 */
	private final Response response;

	/**
	 * Tells the server that the exchange has ended.
	 */
	private final Callback callback;

	Exchange(Request request, Response response, Callback callback) {
		this.request = request;
		this.response = response;
		this.callback = callback;
	}

	/**
	 * Returns the method of the call.
	 * @return the method in upper-case letters
	 */
	public String method() {
		return this.request.getMethod();
	}

	/**
	 * Returns the path of the call.
	 * @return the path without the query
	 */
	public String path() {
		return this.request.getHttpURI().getPath();
	}

	/**
	 * Returns the query of the call.
	 * @return the query, empty if there is none
	 */
	public String query() {
		return Optional.ofNullable(this.request.getHttpURI().getQuery()).orElse("");
	}

	/**
	 * Returns a parameter of the query.
	 * @param name the name of the parameter
	 * @return its value
	 */
	public Optional<String> parameter(String name) {
		return Optional.ofNullable(Request.extractQueryParameters(this.request).getValue(name));
	}

	/**
	 * Returns a numeric parameter of the query.
	 * @param name the name of the parameter
	 * @param otherwise the number to return where there is no such parameter
	 * @return its value
	 */
	public long parameter(String name, long otherwise) {
		return parameter(name).map(Long::parseLong).orElse(otherwise);
	}

	/**
	 * Returns a header of the call.
	 * @param name the name of the header
	 * @return its value
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.request.getHeaders().get(name));
	}

	/**
	 * Reads the body of the call.
	 * @return the whole body
	 */
	public CompletableFuture<byte[]> body() {
		CompletableFuture<byte[]> body = new CompletableFuture<>();
		Content.Source.asByteArrayAsync(this.request, MAX_BODY_BYTES, Promise.Invocable.toPromise(body));
		return body;
	}

	/**
	 * Answers with a value in JSON.
	 * @param status the status code
	 * @param value the value
	 */
	public void answer(int status, Object value) {
		answer(status, Map.of("Content-Type", "application/json"), Json.bytes(value));
	}

	/**
	 * Answers.
	 * @param status the status code
	 * @param headers the headers
	 * @param body the body
	 */
	public void answer(int status, Map<String, String> headers, byte[] body) {
		start(status, headers);
		this.response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
		this.response.write(true, ByteBuffer.wrap(body), this.callback);
	}

	/**
	 * Answers with the first half of a body and breaks the connection.
	 * @param status the status code
	 * @param headers the headers
	 * @param body the body
	 */
	public void answerHalf(int status, Map<String, String> headers, byte[] body) {
		start(status, headers);
		this.response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
		byte[] half = Arrays.copyOf(body, body.length / 2);
		this.response.write(false, ByteBuffer.wrap(half), Callback.from(this::breakOff, (ex) -> breakOff()));
	}

	/**
	 * Starts an answer whose body is written piece by piece.
	 * @param status the status code
	 * @param headers the headers
	 * @return the body
	 */
	public BodyStream stream(int status, Map<String, String> headers) {
		start(status, headers);
		return new BodyStream(this, this.response, this.callback);
	}

	/**
	 * Breaks the connection in place of an answer, or in the midst of one.
	 */
	public void breakOff() {
		reset(this.request.getConnectionMetaData().getConnection().getEndPoint());
		this.callback.failed(new IOException("The connection is broken on purpose"));
	}

	private void start(int status, Map<String, String> headers) {
		this.response.setStatus(status);
		headers.forEach(this.response.getHeaders()::put);
	}

	/**
	 * Closes a connection so that its peer sees a reset.
	 * @param endPoint the connection
	 */
	static void reset(EndPoint endPoint) {
		try {
			if (endPoint instanceof SocketChannelEndPoint socket && socket.getChannel().isOpen()) {
				((SocketChannel) socket.getChannel()).setOption(StandardSocketOptions.SO_LINGER, 0);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		finally {
			endPoint.close();
		}
	}

}
