package org.ebonyford.gateway.caller;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Counts the header lines of a request and the memory that they hold. A line of four
 * bytes costs some forty times its size in objects.
 */
final class HeaderLines implements HttpHeadersFactory {

	/**
	 * What a line holds besides its characters, in bytes: the entry, the name, the value
	 * and their arrays.
	 */
	static final int LINE_BYTES = 160;

	/**
	 * The size in bytes of the shortest line: a name, a colon and the line's end.
	 */
	private static final int SHORTEST_LINE_BYTES = 3;

	/**
	 * The maximum number of lines, which no client within the limit on bytes reaches.
	 */
	private final int maxLines;

	/**
	 * Whether the lines are kept.
	 */
	private final boolean kept;

	/**
	 * The number of lines since the beginning of the head or the trailers.
	 */
	private int lines;

	/**
	 * The number of bytes that the lines hold.
	 */
	private int heldBytes;

	private HeaderLines(int headerBytes, boolean kept) {
		this.maxLines = headerBytes / SHORTEST_LINE_BYTES;
		this.kept = kept;
	}

	/**
	 * Counts and keeps the lines of heads.
	 * @param headerBytes the maximum size of a head in bytes
	 * @return the factory of headers
	 */
	static HeaderLines ofHeads(int headerBytes) {
		return new HeaderLines(headerBytes, true);
	}

	/**
	 * Counts the lines of trailers, which are not kept, as nothing reads them.
	 * @param headerBytes the maximum size of the trailers in bytes
	 * @return the factory of trailers
	 */
	static HeaderLines ofTrailers(int headerBytes) {
		return new HeaderLines(headerBytes, false);
	}

	@Override
	public HttpHeaders newHeaders() {
		this.lines = 0;
		this.heldBytes = 0;
		return new Counted();
	}

	@Override
	public HttpHeaders newEmptyHeaders() {
		return newHeaders();
	}

	/**
	 * Returns what the lines of the last head hold.
	 * @return the number of bytes
	 */
	int heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Headers whose lines are counted as they are read.
	 */
	private final class Counted extends DefaultHttpHeaders {

		@Override
		public HttpHeaders add(CharSequence name, Object value) {
			if (++HeaderLines.this.lines > HeaderLines.this.maxLines) {
				throw new TooLongHttpHeaderException("There are more than " + HeaderLines.this.maxLines + " lines");
			}
			if (!HeaderLines.this.kept) {
				return this;
			}
			HeaderLines.this.heldBytes += LINE_BYTES + name.length()
					+ ((value instanceof CharSequence text) ? text.length() : 0);
			return super.add(name, value);
		}

	}

}
