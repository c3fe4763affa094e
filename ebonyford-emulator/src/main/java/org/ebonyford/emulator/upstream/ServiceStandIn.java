package org.ebonyford.emulator.upstream;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.Exchange;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.truth.Run;

/**
 * A plain service whose calls have effects, so that a call that runs twice is counted
 * twice.
 */
public final class ServiceStandIn extends UpstreamStandIn {

	/**
	 * The calls that run, by the numbers of their runs.
	 */
	private final Map<Integer, Call> running = new LinkedHashMap<>();

	/**
	 * Starts a service.
	 * @param settings how it behaves
	 */
	public ServiceStandIn(UpstreamSettings settings) {
		super(settings);
	}

	@Override
	void take(Call call) {
		Optional<Integer> run = begin(call);
		if (run.isEmpty()) {
			call.exchange().breakOff();
			return;
		}
		this.running.put(run.get(), call);
		if (new String(call.body(), StandardCharsets.UTF_8).contains(CRASH_MARKER)) {
			crash();
			return;
		}
		later(() -> finish(run.get()), TimeUnit.MILLISECONDS.toMicros(duration(call)));
	}

	@Override
	void dropAll() {
		List<Integer> dropped = List.copyOf(this.running.keySet());
		for (Integer run : dropped) {
			ledger().end(run, Run.Ending.CRASHED);
			this.running.remove(run).exchange().breakOff();
		}
	}

	private long duration(Call call) {
		String text = new String(call.body(), StandardCharsets.UTF_8) + call.requestId();
		return Answers.completionTokens(text, settings().minCost(), settings().maxCost());
	}

	private void finish(int run) {
		Call call = this.running.remove(run);
		if (call == null) {
			return;
		}
		ledger().charge(run, 1);
		complete(run);
		if (call.struckBy(Fault.Kind.HELD_ANSWER)) {
			faults().hold(() -> later(() -> answer(call), 0));
			return;
		}
		boolean late = call.struckBy(Fault.Kind.LATE) || call.struckBy(Fault.Kind.STALL);
		later(() -> answer(call), late ? TimeUnit.MILLISECONDS.toMicros(call.delay()) : 0);
	}

	private void answer(Call call) {
		byte[] body = Json.bytes(receipt(call));
		Map<String, String> headers = Map.of("Content-Type", "application/json", "X-Request-Id", call.shownId());
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

	private Map<String, Object> receipt(Call call) {
		Exchange exchange = call.exchange();
		String target = exchange.path() + (exchange.query().isEmpty() ? "" : "?" + exchange.query());
		Map<String, Object> receipt = new LinkedHashMap<>();
		receipt.put("service", name());
		receipt.put("requestId", call.shownId());
		receipt.put("key", call.key());
		receipt.put("digest", Answers.digest(exchange.method(), call.shownText(target), call.body()));
		return receipt;
	}

}
