package org.ebonyford.emulator.upstream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.BodyStream;
import org.ebonyford.emulator.http.Exchange;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.truth.Run;

/**
 * A model engine that batches continuously: each decoding step gives every running
 * completion one token, and the steps grow longer with the number of completions.
 */
public final class EngineStandIn extends UpstreamStandIn {

	/**
	 * The path of completions.
	 */
	private static final String COMPLETIONS = "/v1/chat/completions";

	/**
	 * The path under which streams are resumed.
	 */
	private static final String STREAMS = "/v1/streams/";

	/**
	 * The path under which requests are cancelled.
	 */
	private static final String REQUESTS = "/v1/requests/";

	/**
	 * The headers of a streamed answer.
	 */
	private static final Map<String, String> STREAM_HEADERS = Map.of("Content-Type", "text/event-stream",
			"Cache-Control", "no-store");

	/**
	 * The share by which a full engine's step is longer than that of a single completion.
	 */
	private static final double SLOWDOWN = 0.4;

	/**
	 * The number of finished completions that can be resumed.
	 */
	private static final int MAX_FINISHED = 2_000;

	/**
	 * The running completions by the names of their requests.
	 */
	private final Map<String, Completion> running = new LinkedHashMap<>();

	/**
	 * The finished completions by the names of their requests, oldest first.
	 */
	private final Map<String, Completion> finished = new LinkedHashMap<>();

	/**
	 * Whether the next step is scheduled.
	 */
	private boolean stepping;

	/**
	 * Starts an engine.
	 * @param settings how it behaves
	 */
	public EngineStandIn(UpstreamSettings settings) {
		super(settings);
	}

	@Override
	void take(Call call) {
		String path = call.exchange().path();
		if (path.equals(COMPLETIONS)) {
			startCompletion(call);
		}
		else if (path.startsWith(STREAMS)) {
			resume(call.exchange(), path.substring(STREAMS.length()));
		}
		else if (path.startsWith(REQUESTS) && call.exchange().method().equals("DELETE")) {
			cancel(call.exchange(), path.substring(REQUESTS.length()));
		}
		else {
			call.exchange().answer(404, Map.of());
		}
	}

	@Override
	void dropAll() {
		List<Completion> dropped = new ArrayList<>(this.running.values());
		this.running.clear();
		this.finished.clear();
		for (Completion completion : dropped) {
			ledger().end(completion.run(), Run.Ending.CRASHED);
			completion.breakOff();
		}
	}

	private void startCompletion(Call call) {
		JsonNode request = Json.tree(call.body());
		String prompt = Answers.prompt(request);
		if (prompt.isEmpty() || call.requestId().isEmpty() || this.running.containsKey(call.requestId())) {
			call.exchange().answer(400, Map.of());
			return;
		}
		Optional<Integer> run = begin(call);
		if (run.isEmpty()) {
			call.exchange().breakOff();
			return;
		}
		start(call, run.get(), prompt, request);
	}

	private void start(Call call, int run, String prompt, JsonNode request) {
		int tokens = Answers.completionTokens(prompt, settings().minCost(), settings().maxCost());
		int limited = Math.max(1, Math.min(tokens, request.path("max_tokens").asInt(tokens)));
		boolean streamed = request.path("stream").asBoolean();
		Completion completion = new Completion(call, run, prompt, limited, streamed);
		ledger().charge(run, Answers.promptTokens(prompt));
		this.running.put(call.requestId(), completion);
		if (streamed) {
			completion.follow(call.exchange().stream(200, headers(call, STREAM_HEADERS)), -1);
		}
		scheduleStep();
	}

	private void resume(Exchange exchange, String requestId) {
		Completion completion = this.running.getOrDefault(requestId, this.finished.get(requestId));
		if (completion == null) {
			exchange.answer(404, Map.of());
			return;
		}
		int after = (int) exchange.parameter("after", -1);
		BodyStream stream = exchange.stream(200, headers(completion.call(), STREAM_HEADERS));
		completion.follow(stream, after);
	}

	private void cancel(Exchange exchange, String requestId) {
		Completion completion = this.running.remove(requestId);
		if (completion == null) {
			exchange.answer(404, Map.of());
			return;
		}
		ledger().end(completion.run(), Run.Ending.CANCELLED);
		completion.breakOff();
		exchange.answer(200, Map.of());
	}

	private void scheduleStep() {
		if (this.stepping || this.running.isEmpty()) {
			return;
		}
		this.stepping = true;
		later(this::step, stepMicros());
	}

	private long stepMicros() {
		double load = (double) this.running.size() / settings().warm();
		return (long) (settings().stepMicros() * (1 + SLOWDOWN * load));
	}

	private void step() {
		this.stepping = false;
		for (Completion completion : List.copyOf(this.running.values())) {
			if (completion.crashing()) {
				crash();
				return;
			}
			advance(completion);
		}
		scheduleStep();
	}

	private void advance(Completion completion) {
		long stallSteps = TimeUnit.MILLISECONDS.toMicros(completion.call().delay()) / stepMicros();
		if (completion.step(stallSteps)) {
			ledger().charge(completion.run(), 1);
		}
		if (completion.done()) {
			finish(completion);
		}
	}

	private void finish(Completion completion) {
		Call call = completion.call();
		this.running.remove(call.requestId());
		complete(completion.run());
		remember(completion);
		if (completion.streamed()) {
			completion.finishStreams();
			return;
		}
		long lateMicros = call.struckBy(Fault.Kind.LATE) ? TimeUnit.MILLISECONDS.toMicros(call.delay()) : 0;
		later(() -> answer(completion), lateMicros);
	}

	private void remember(Completion completion) {
		this.finished.put(completion.call().requestId(), completion);
		if (this.finished.size() > MAX_FINISHED) {
			this.finished.remove(this.finished.keySet().iterator().next());
		}
	}

	private static void answer(Completion completion) {
		Call call = completion.call();
		Map<String, String> headers = headers(call, Map.of("Content-Type", "application/json"));
		String prompt = call.shownText(completion.prompt());
		byte[] body = Json.bytes(Answers.plain(call.shownId(), prompt, completion.tokens()));
		if (call.struckBy(Fault.Kind.LOST) || call.struckBy(Fault.Kind.RESET)) {
			call.exchange().breakOff();
		}
		else if (call.struckBy(Fault.Kind.TRUNCATED)) {
			call.exchange().answerHalf(200, headers, body);
		}
		else {
			call.exchange().answer(200, headers, body);
		}
	}

	/**
	 * Returns the headers of an answer, which name the request that is answered.
	 * @param call the call
	 * @param others the other headers
	 * @return all headers
	 */
	private static Map<String, String> headers(Call call, Map<String, String> others) {
		Map<String, String> headers = new LinkedHashMap<>(others);
		headers.put("X-Request-Id", call.shownId());
		return headers;
	}

}
