package org.ebonyford.emulator.upstream;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

import org.ebonyford.emulator.http.Json;

/**
 * The answers of upstreams, which follow from the request alone, so that whoever sent it
 * can tell a whole answer of its own from any other.
 */
public final class Answers {

	/**
	 * A marker in a prompt that sets the number of tokens of its completion.
	 */
	private static final Pattern TOKENS_MARKER = Pattern.compile("\\[tokens=(\\d+)]");

	/**
	 * The characters of a prompt that make a token.
	 */
	private static final int CHARACTERS_PER_TOKEN = 4;

	private Answers() {
	}

	/**
	 * Returns the text that a request for a completion asks about.
	 * @param request the body of the request
	 * @return the contents of its messages, joined by line ends
	 */
	public static String prompt(JsonNode request) {
		List<String> contents = new ArrayList<>();
		request.path("messages").forEach((message) -> contents.add(message.path("content").asText("")));
		return String.join("\n", contents);
	}

	/**
	 * Returns the cost of reading a prompt.
	 * @param prompt the prompt
	 * @return the tokens, at least 1
	 */
	public static int promptTokens(String prompt) {
		return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
	}

	/**
	 * Returns the length of the completion of a prompt.
	 * @param prompt the prompt
	 * @param min the least tokens
	 * @param max the most tokens
	 * @return the tokens
	 */
	public static int completionTokens(String prompt, int min, int max) {
		Matcher marker = TOKENS_MARKER.matcher(prompt);
		if (marker.find()) {
			return Integer.parseInt(marker.group(1));
		}
		return min + (int) (seed(prompt) % (max - min + 1));
	}

	/**
	 * Returns one token of the completion of a prompt.
	 * @param prompt the prompt
	 * @param index the position of the token
	 * @return the text of the token
	 */
	public static String token(String prompt, int index) {
		long mixed = (seed(prompt) + index) * 0x9E3779B97F4A7C15L;
		return Long.toString((mixed >>> 40) & 0xFFFFFF, Character.MAX_RADIX) + " ";
	}

	/**
	 * Returns the completion of a prompt.
	 * @param prompt the prompt
	 * @param tokens the length of the completion
	 * @return its whole text
	 */
	public static String completion(String prompt, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < tokens; index++) {
			text.append(token(prompt, index));
		}
		return text.toString();
	}

	/**
	 * Returns one event of a streamed completion.
	 * @param requestId the name of the request
	 * @param prompt the prompt
	 * @param tokens the length of the completion
	 * @param index the number of the event, where the last but one has the usage and the
	 * last ends the stream
	 * @return the event as it goes over the connection
	 */
	public static byte[] event(String requestId, String prompt, int tokens, int index) {
		String data = (index > tokens) ? "[DONE]" : Json.text(chunk(requestId, prompt, tokens, index));
		return ("id: " + index + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the answer to a request for a plain completion.
	 * @param requestId the name of the request
	 * @param prompt the prompt
	 * @param tokens the length of the completion
	 * @return the body of the answer
	 */
	public static Map<String, Object> plain(String requestId, String prompt, int tokens) {
		Map<String, Object> message = Map.of("role", "assistant", "content", completion(prompt, tokens));
		Map<String, Object> choice = Map.of("index", 0, "message", message, "finish_reason", "stop");
		return Map.of("id", requestId, "object", "chat.completion", "choices", List.of(choice), "usage",
				usage(prompt, tokens));
	}

	/**
	 * Returns the digest that a plain service answers a request with.
	 * @param method the method of the request
	 * @param target the path and query of the request
	 * @param body the body of the request
	 * @return the digest in hexadecimal digits
	 */
	public static String digest(String method, String target, byte[] body) {
		MessageDigest digest = sha256();
		digest.update((method + " " + target + "\n").getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest(body));
	}

	/**
	 * Returns the digest of a text.
	 * @param text the text
	 * @return the digest in hexadecimal digits
	 */
	public static String digest(String text) {
		return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
	}

	private static Map<String, Object> chunk(String requestId, String prompt, int tokens, int index) {
		boolean last = index == tokens;
		Map<String, Object> delta = last ? Map.of() : Map.of("content", token(prompt, index));
		Map<String, Object> choice = last ? Map.of("index", 0, "delta", delta, "finish_reason", "stop")
				: Map.of("index", 0, "delta", delta);
		Map<String, Object> chunk = new LinkedHashMap<>();
		chunk.put("id", requestId);
		chunk.put("object", "chat.completion.chunk");
		chunk.put("choices", List.of(choice));
		if (last) {
			chunk.put("usage", usage(prompt, tokens));
		}
		return chunk;
	}

	private static Map<String, Object> usage(String prompt, int tokens) {
		int promptTokens = promptTokens(prompt);
		return Map.of("prompt_tokens", promptTokens, "completion_tokens", tokens, "total_tokens",
				promptTokens + tokens);
	}

	private static long seed(String prompt) {
		long seed = 1125899906842597L;
		for (int index = 0; index < prompt.length(); index++) {
			seed = 31 * seed + prompt.charAt(index);
		}
		return (seed ^ (seed >>> 29)) & Long.MAX_VALUE;
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

}
