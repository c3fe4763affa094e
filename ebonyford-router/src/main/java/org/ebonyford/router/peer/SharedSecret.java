package org.ebonyford.router.peer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.Executor;

import io.grpc.CallCredentials;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;

/**
 * Proves to a peer that a router knows the fleet's secret, and rejects callers that do
 * not.
 */
final class SharedSecret extends CallCredentials implements ServerInterceptor {

	/**
	 * The metadata that carries the secret.
	 */
	private static final Metadata.Key<String> AUTHORIZATION = Metadata.Key.of("authorization",
			Metadata.ASCII_STRING_MARSHALLER);

	/**
	 * The value that the metadata must have.
	 */
	private final String expected;

	/**
	 * What is done when a caller is rejected.
	 */
	private final Runnable rejected;

	/**
	 * Creates the proof.
	 * @param secret the secret that all routers share
	 * @param rejected what is done when a caller is rejected
	 */
	SharedSecret(String secret, Runnable rejected) {
		this.expected = "Bearer " + secret;
		this.rejected = rejected;
	}

	@Override
	public void applyRequestMetadata(RequestInfo requestInfo, Executor executor, MetadataApplier applier) {
		Metadata metadata = new Metadata();
		metadata.put(AUTHORIZATION, this.expected);
		applier.apply(metadata);
	}

	@Override
	public <Q, R> ServerCall.Listener<Q> interceptCall(ServerCall<Q, R> call, Metadata headers,
			ServerCallHandler<Q, R> next) {
		if (matches(headers.get(AUTHORIZATION))) {
			return next.startCall(call, headers);
		}
		this.rejected.run();
		call.close(Status.UNAUTHENTICATED, new Metadata());
		return new ServerCall.Listener<>() {
		};
	}

	private boolean matches(String presented) {
		return presented != null && MessageDigest.isEqual(presented.getBytes(StandardCharsets.UTF_8),
				this.expected.getBytes(StandardCharsets.UTF_8));
	}

}
