package org.ebonyford.emulator.load;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.site.Deployment;

/**
 * One request as a caller sends it.
 *
 * @param kind the kind of the request
 * @param organisation the organisation that sends it
 * @param pool the pool that is to serve it
 * @param text the prompt of a completion, or the path of a call
 * @param body the body
 * @param key the idempotency key of a request that may not be repeated
 * @param timeoutMillis how long the caller waits for the start of the answer
 * @param requestClass the class of the request, empty for the usual one
 */
public record CallSpec(Kind kind, Deployment.Organisation organisation, String pool, String text, byte[] body,
		Optional<String> key, long timeoutMillis, String requestClass) {

	/**
	 * The milliseconds that a caller usually waits.
	 */
	private static final long USUAL_TIMEOUT_MILLIS = 30_000L;

	/**
	 * Creates a request for a completion.
	 * @param organisation the organisation that sends it
	 * @param pool the pool of engines
	 * @param prompt the prompt
	 * @param streamed whether the answer is to be streamed
	 * @return the request
	 */
	public static CallSpec chat(Deployment.Organisation organisation, String pool, String prompt, boolean streamed) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("model", pool);
		body.put("stream", streamed);
		body.put("user", organisation.name());
		body.put("messages", List.of(Map.of("role", "user", "content", prompt)));
		return new CallSpec(streamed ? Kind.CHAT_STREAM : Kind.CHAT, organisation, pool, prompt, Json.bytes(body),
				Optional.empty(), USUAL_TIMEOUT_MILLIS, "");
	}

	/**
	 * Creates a call of a service.
	 * @param organisation the organisation that sends it
	 * @param pool the pool of services
	 * @param path the path and query at the service
	 * @param content what the call is about
	 * @return the request
	 */
	public static CallSpec call(Deployment.Organisation organisation, String pool, String path, String content) {
		byte[] body = Json.bytes(Map.of("user", organisation.name(), "content", content));
		return new CallSpec(Kind.CALL, organisation, pool, path, body, Optional.empty(), USUAL_TIMEOUT_MILLIS, "");
	}

	/**
	 * Returns a copy that may not be repeated.
	 * @param idempotencyKey the idempotency key
	 * @return the copy
	 */
	public CallSpec once(String idempotencyKey) {
		return new CallSpec(this.kind, this.organisation, this.pool, this.text, this.body, Optional.of(idempotencyKey),
				this.timeoutMillis, this.requestClass);
	}

	/**
	 * Returns a copy whose caller waits for another time.
	 * @param millis the milliseconds
	 * @return the copy
	 */
	public CallSpec within(long millis) {
		return new CallSpec(this.kind, this.organisation, this.pool, this.text, this.body, this.key, millis,
				this.requestClass);
	}

	/**
	 * Returns a copy of another class.
	 * @param name the class
	 * @return the copy
	 */
	public CallSpec ofClass(String name) {
		return new CallSpec(this.kind, this.organisation, this.pool, this.text, this.body, this.key, this.timeoutMillis,
				name);
	}

	@Override
	public String toString() {
		return this.kind + " of " + this.organisation.name() + ": " + new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * The kind of a request.
	 */
	public enum Kind {

		/** A completion in one piece. */
		CHAT,

		/** A streamed completion. */
		CHAT_STREAM,

		/** A call of a service. */
		CALL

	}

}
