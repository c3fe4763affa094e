package org.ebonyford.emulator.load;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.upstream.Answers;

/**
 * Compares an answer with what the request alone says that it must be.
 */
final class AnswerCheck {

	/**
	 * The line that ends a stream.
	 */
	private static final String DONE = "[DONE]";

	private AnswerCheck() {
	}

	/**
	 * Judges the body of a successful answer.
	 * @param spec the request
	 * @param requestId the name that the router gave to the request
	 * @param target the path and query as the upstream saw it
	 * @param body the body of the answer
	 * @return the judgement
	 */
	static Finding judge(CallSpec spec, String requestId, String target, byte[] body) {
		return switch (spec.kind()) {
			case CHAT -> plain(spec, requestId, Json.tree(body));
			case CHAT_STREAM -> stream(spec, requestId, new String(body, StandardCharsets.UTF_8));
			case CALL -> receipt(spec, requestId, target, Json.tree(body));
		};
	}

	private static Finding plain(CallSpec spec, String requestId, JsonNode answer) {
		if (answer.isMissingNode()) {
			return new Finding(Verdict.Result.TRUNCATED, "no JSON", 0);
		}
		JsonNode usage = answer.path("usage");
		String content = answer.path("choices").path(0).path("message").path("content").asText();
		String wanted = Answers.completion(spec.text(), usage.path("completion_tokens").asInt());
		if (!answer.path("id").asText().equals(requestId)) {
			return new Finding(Verdict.Result.CROSSED, "answer to " + answer.path("id").asText(), 0);
		}
		if (!content.equals(wanted)) {
			return new Finding(Verdict.Result.CROSSED, "text of another prompt", 0);
		}
		return new Finding(Verdict.Result.COMPLETED, "", cost(usage));
	}

	private static Finding stream(CallSpec spec, String requestId, String text) {
		int expectedId = 0;
		StringBuilder content = new StringBuilder();
		Optional<JsonNode> usage = Optional.empty();
		boolean done = false;
		for (String event : text.split("\n\n")) {
			if (event.isBlank()) {
				continue;
			}
			String data = field(event, "data");
			if (!field(event, "id").equals(Integer.toString(expectedId++)) || done) {
				return new Finding(Verdict.Result.MALFORMED, "event out of order: " + event, 0);
			}
			if (data.equals(DONE)) {
				done = true;
				continue;
			}
			JsonNode chunk = Json.tree(data.getBytes(StandardCharsets.UTF_8));
			if (!chunk.path("id").asText().equals(requestId)) {
				return new Finding(Verdict.Result.CROSSED, "event of " + chunk.path("id").asText(), 0);
			}
			content.append(chunk.path("choices").path(0).path("delta").path("content").asText(""));
			usage = usage.or(() -> chunk.has("usage") ? Optional.of(chunk.path("usage")) : Optional.empty());
		}
		if (!done || usage.isEmpty()) {
			return new Finding(Verdict.Result.TRUNCATED, "ended after event " + (expectedId - 1), 0);
		}
		return wholeStream(spec, content.toString(), usage.get());
	}

	private static Finding wholeStream(CallSpec spec, String content, JsonNode usage) {
		if (!content.equals(Answers.completion(spec.text(), usage.path("completion_tokens").asInt()))) {
			return new Finding(Verdict.Result.CROSSED, "text of another prompt", 0);
		}
		return new Finding(Verdict.Result.COMPLETED, "", cost(usage));
	}

	private static Finding receipt(CallSpec spec, String requestId, String target, JsonNode answer) {
		if (answer.isMissingNode()) {
			return new Finding(Verdict.Result.TRUNCATED, "no JSON", 0);
		}
		if (!answer.path("digest").asText().equals(Answers.digest("POST", target, spec.body()))) {
			return new Finding(Verdict.Result.CROSSED, "digest of another call", 0);
		}
		if (spec.key().isPresent() && !answer.path("key").asText().equals(spec.key().get())) {
			return new Finding(Verdict.Result.CROSSED, "key of another call", 0);
		}
		if (spec.key().isEmpty() && !answer.path("requestId").asText().equals(requestId)) {
			return new Finding(Verdict.Result.CROSSED, "answer to " + answer.path("requestId").asText(), 0);
		}
		return new Finding(Verdict.Result.COMPLETED, "", 1);
	}

	private static long cost(JsonNode usage) {
		return usage.path("prompt_tokens").asLong() + usage.path("completion_tokens").asLong();
	}

	private static String field(String event, String name) {
		return event.lines()
			.filter((line) -> line.startsWith(name + ": "))
			.map((line) -> line.substring(name.length() + 2))
			.findFirst()
			.orElse("");
	}

	/**
	 * The judgement on the body of an answer.
	 *
	 * @param result the judgement
	 * @param reason what is wrong, empty if nothing is
	 * @param cost the tokens or calls that the answer cost
	 */
	record Finding(Verdict.Result result, String reason, long cost) {

	}

}
