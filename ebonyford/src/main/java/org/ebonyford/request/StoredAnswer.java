package org.ebonyford.request;

import java.util.Objects;

/**
 * An upstream's whole answer, kept so that a repeat of its request gets the same one.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body
 * @param body the body as text
 */
public record StoredAnswer(int status, String contentType, String body) {

	/**
	 * The characters that a body may have to be kept.
	 */
	public static final int MAX_BODY = 4096;

	/**
	 * Creates an answer.
	 * @throws NullPointerException if an argument is {@code null}
	 */
	public StoredAnswer {
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

}
