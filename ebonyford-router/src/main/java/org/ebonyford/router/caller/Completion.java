package org.ebonyford.router.caller;

import java.io.IOException;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;

/**
 * What a router needs to know of the body of a chat completion.
 *
 * @param model the name of the model, which is the name of its pool
 * @param stream whether the caller asks for server-sent events
 * @param maxTokens the tokens that the answer may have, or empty if the caller does not
 * say
 */
public record Completion(String model, boolean stream, OptionalLong maxTokens) {

	/**
	 * Reads bodies and refuses members that come twice, of which two readers could choose
	 * different ones.
	 */
	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.build();

	/**
	 * Reads a body without keeping more of it than its few relevant members.
	 * @param body the body
	 * @return what a router needs to know
	 * @throws RejectedException if the body is no JSON object with a model
	 */
	public static Completion parse(byte[] body) throws RejectedException {
		try (JsonParser parser = FACTORY.createParser(body)) {
			return read(parser);
		}
		catch (IOException ex) {
			throw new RejectedException(Rejection.MALFORMED, "The body is not a valid JSON object.");
		}
	}

	private static Completion read(JsonParser parser) throws IOException, RejectedException {
		require(parser.nextToken() == JsonToken.START_OBJECT, "The body is not a JSON object.");
		String model = "";
		boolean stream = false;
		OptionalLong maxTokens = OptionalLong.empty();
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			JsonToken value = parser.nextToken();
			switch (name) {
				case "model":
					model = text(parser, value);
					break;
				case "stream":
					stream = truth(value);
					break;
				case "max_tokens":
					maxTokens = number(parser, value);
					break;
				default:
					parser.skipChildren();
			}
		}
		require(parser.nextToken() == null, "The body has something after its JSON object.");
		require(!model.isBlank(), "The body names no model.");
		return new Completion(model, stream, maxTokens);
	}

	private static String text(JsonParser parser, JsonToken value) throws IOException, RejectedException {
		require(value == JsonToken.VALUE_STRING, "The model is not a string.");
		return parser.getText();
	}

	private static boolean truth(JsonToken value) throws RejectedException {
		boolean valid = value == JsonToken.VALUE_TRUE || value == JsonToken.VALUE_FALSE
				|| value == JsonToken.VALUE_NULL;
		require(valid, "The member stream is neither true nor false.");
		return value == JsonToken.VALUE_TRUE;
	}

	private static OptionalLong number(JsonParser parser, JsonToken value) throws IOException, RejectedException {
		if (value == JsonToken.VALUE_NULL) {
			return OptionalLong.empty();
		}
		require(value == JsonToken.VALUE_NUMBER_INT, "The member max_tokens is not an integer.");
		long tokens = parser.getLongValue();
		require(tokens > 0, "The member max_tokens is not positive.");
		return OptionalLong.of(tokens);
	}

	private static void require(boolean condition, String detail) throws RejectedException {
		if (!condition) {
			throw new RejectedException(Rejection.MALFORMED, detail);
		}
	}

}
