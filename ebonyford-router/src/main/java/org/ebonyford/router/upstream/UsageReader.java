package org.ebonyford.router.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;

/**
 * Reads the tokens that a completion used out of its answer, piece by piece.
 */
final class UsageReader {

	/**
	 * Makes parsers.
	 */
	private static final JsonFactory FACTORY = new JsonFactory();

	/**
	 * The depth of the members of the answer's object.
	 */
	private static final int TOP = 1;

	/**
	 * Reads the answer without blocking, {@code null} once the answer proved to be no
	 * JSON.
	 */
	private JsonParser parser;

	/**
	 * How many objects and arrays are open.
	 */
	private int depth;

	/**
	 * Whether the open object at the second level is the usage.
	 */
	private boolean inUsage;

	/**
	 * The tokens that were found, or -1 before any.
	 */
	private long tokens = -1;

	/**
	 * Creates a reader at the start of an answer.
	 */
	UsageReader() {
		try {
			this.parser = FACTORY.createNonBlockingByteArrayParser();
		}
		catch (IOException ex) {
			throw new IllegalStateException("A parser without input can always be made", ex);
		}
	}

	/**
	 * Returns the tokens in the data of one event.
	 * @param data the data
	 * @return the tokens, or empty if the event tells none
	 */
	static OptionalLong ofEvent(String data) {
		if (!data.contains("\"usage\"")) {
			return OptionalLong.empty();
		}
		UsageReader reader = new UsageReader();
		reader.read(data.getBytes(StandardCharsets.UTF_8));
		return reader.tokens();
	}

	/**
	 * Takes a piece of the answer.
	 * @param bytes the piece
	 */
	void read(byte[] bytes) {
		if (this.parser == null) {
			return;
		}
		try {
			((ByteArrayFeeder) this.parser.getNonBlockingInputFeeder()).feedInput(bytes, 0, bytes.length);
			JsonToken token = this.parser.nextToken();
			while (token != null && token != JsonToken.NOT_AVAILABLE) {
				take(token);
				token = this.parser.nextToken();
			}
		}
		catch (IOException ex) {
			this.parser = null;
		}
	}

	/**
	 * Returns the tokens that the completion used.
	 * @return the tokens, or empty if the answer told none so far
	 */
	OptionalLong tokens() {
		return (this.tokens >= 0) ? OptionalLong.of(this.tokens) : OptionalLong.empty();
	}

	private void take(JsonToken token) throws IOException {
		if (token.isStructStart()) {
			this.inUsage = this.inUsage || this.depth == TOP && "usage".equals(this.parser.currentName());
			this.depth++;
		}
		else if (token.isStructEnd()) {
			this.depth--;
			this.inUsage = this.inUsage && this.depth > TOP;
		}
		else if (token == JsonToken.VALUE_NUMBER_INT && this.inUsage && this.depth == TOP + 1) {
			count(this.parser.currentName(), this.parser.getLongValue());
		}
	}

	private void count(String name, long value) {
		if ("prompt_tokens".equals(name) || "completion_tokens".equals(name)) {
			this.tokens = Math.max(this.tokens, 0) + Math.max(value, 0);
		}
	}

}
