package org.ebonyford.emulator.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads and writes the bodies of the stand-ins.
 */
public final class Json {

	/**
	 * The mapper that all bodies go through.
	 */
	private static final ObjectMapper MAPPER = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
		.setSerializationInclusion(JsonInclude.Include.NON_ABSENT);

	private Json() {
	}

	/**
	 * Writes a value.
	 * @param value the value
	 * @return the JSON text in UTF-8
	 */
	public static byte[] bytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Writes a value.
	 * @param value the value
	 * @return the JSON text on one line
	 */
	public static String text(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a value.
	 * @param <T> the type of the value
	 * @param body the JSON text in UTF-8
	 * @param type the type of the value
	 * @return the value
	 * @throws UncheckedIOException if the text does not describe a value of the type
	 */
	public static <T> T read(byte[] body, Class<T> type) {
		try {
			return MAPPER.readValue(body, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a tree whose shape is open.
	 * @param body the JSON text in UTF-8
	 * @return the root of the tree, missing where the text is no JSON
	 */
	public static JsonNode tree(byte[] body) {
		try {
			return MAPPER.readTree(body);
		}
		catch (IOException ex) {
			return MAPPER.missingNode();
		}
	}

}
