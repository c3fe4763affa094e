package org.ebonyford.emulator.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;

import org.ebonyford.emulator.http.Json;

/**
 * A caller that checks every answer.
 */
public final class CheckingClient implements Sender, AutoCloseable {

	/**
	 * The threads of the client.
	 */
	private static final int THREADS = 4;

	/**
	 * The time that a whole exchange may take beyond what the caller waits for its start.
	 */
	private static final long WHOLE_MILLIS = 30_000L;

	/**
	 * The threads that judge answers.
	 */
	private final ExecutorService executor = Executors.newFixedThreadPool(THREADS, (task) -> {
		Thread thread = new Thread(task, "caller");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * The client that sends requests.
	 */
	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.executor(this.executor)
		.build();

	/**
	 * Creates a client.
	 */
	public CheckingClient() {
	}

	@Override
	public CompletableFuture<Verdict> send(Route route, CallSpec spec) {
		Route.Hop hop = route.hop(spec);
		Timing timing = new Timing(System.currentTimeMillis(), System.nanoTime(), new AtomicLong());
		CompletableFuture<HttpResponse<byte[]>> answer = this.client.sendAsync(request(hop, spec),
				(info) -> new FirstByte(timing, HttpResponse.BodySubscribers.ofByteArray()));
		return answer.handle((response, failure) -> (failure != null) ? broken(spec, timing, failure)
				: judge(hop, spec, timing, response));
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private static HttpRequest request(Route.Hop hop, CallSpec spec) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(hop.uri()))
			.POST(HttpRequest.BodyPublishers.ofByteArray(spec.body()))
			.timeout(Duration.ofMillis(spec.timeoutMillis() + WHOLE_MILLIS))
			.header("Content-Type", "application/json")
			.header("Authorization", "Bearer " + spec.organisation().key())
			.header("X-Organisation", spec.organisation().name())
			.header("X-Request-Timeout-Ms", Long.toString(spec.timeoutMillis()));
		spec.key().ifPresent((key) -> request.header("Idempotency-Key", key));
		if (!spec.requestClass().isEmpty()) {
			request.header("X-Request-Class", spec.requestClass());
		}
		if (!hop.requestId().isEmpty()) {
			request.header("X-Request-Id", hop.requestId());
		}
		return request.build();
	}

	private static Verdict judge(Route.Hop hop, CallSpec spec, Timing timing, HttpResponse<byte[]> response) {
		String requestId = response.headers().firstValue("X-Request-Id").orElse("");
		String outcome = response.headers().firstValue("X-Outcome").orElse("");
		String type = response.headers().firstValue("Content-Type").orElse("");
		if (response.statusCode() == 200) {
			String wantedId = hop.requestId().isEmpty() ? requestId : hop.requestId();
			AnswerCheck.Finding finding = AnswerCheck.judge(spec, wantedId, spec.text(), response.body());
			return timing.verdict(finding.result(), spec, 200, requestId, outcome, finding.reason(), Optional.empty(),
					finding.cost());
		}
		JsonNode problem = Json.tree(response.body());
		if (!type.startsWith("application/problem+json") || problem.path("outcome").isMissingNode()) {
			return timing.verdict(Verdict.Result.MALFORMED, spec, response.statusCode(), requestId, outcome,
					"no problem", Optional.empty(), 0);
		}
		Optional<Long> retryAfter = problem.has("retryAfterMs") ? Optional.of(problem.path("retryAfterMs").asLong())
				: Optional.empty();
		return timing.verdict(Verdict.Result.REFUSED, spec, response.statusCode(), requestId,
				problem.path("outcome").asText(), problem.path("reason").asText(), retryAfter, 0);
	}

	private static Verdict broken(CallSpec spec, Timing timing, Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return timing.verdict(Verdict.Result.BROKEN, spec, 0, "", "", String.valueOf(cause), Optional.empty(), 0);
	}

	/**
	 * The times of one exchange.
	 *
	 * @param startedAt when the request was sent, in milliseconds since the epoch
	 * @param startNanos when the request was sent, by the machine's monotonic time
	 * @param firstByteNanos the nanoseconds until the first byte of the body
	 */
	private record Timing(long startedAt, long startNanos, AtomicLong firstByteNanos) {

		private Verdict verdict(Verdict.Result result, CallSpec spec, int status, String requestId, String outcome,
				String reason, Optional<Long> retryAfter, long cost) {
			return new Verdict(result, spec, status, requestId, outcome, reason, retryAfter, this.startedAt,
					this.firstByteNanos.get(), System.nanoTime() - this.startNanos, cost);
		}

	}

	/**
	 * Notes when the first byte of a body comes.
	 *
	 * @param timing takes the time
	 * @param body takes the body
	 */
	private record FirstByte(Timing timing,
			HttpResponse.BodySubscriber<byte[]> body) implements HttpResponse.BodySubscriber<byte[]> {

		@Override
		public CompletionStage<byte[]> getBody() {
			return this.body.getBody();
		}

		@Override
		public void onSubscribe(Flow.Subscription subscription) {
			this.body.onSubscribe(subscription);
		}

		@Override
		public void onNext(List<ByteBuffer> piece) {
			long passed = System.nanoTime() - this.timing.startNanos();
			this.timing.firstByteNanos().compareAndSet(0, passed);
			this.body.onNext(piece);
		}

		@Override
		public void onError(Throwable failure) {
			this.body.onError(failure);
		}

		@Override
		public void onComplete() {
			this.body.onComplete();
		}

	}

}
