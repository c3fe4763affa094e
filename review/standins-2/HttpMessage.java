import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A request or an answer of HTTP/1.1 that was read whole.
 *
 * @param startLine the first line
 * @param headers the headers; of several with one name the last
 * @param body the body
 */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {

	/**
	 * Reads a message whose body has a length or comes in chunks.
	 * @param in the bytes of a connection
	 * @return the message, {@code null} if the connection ended before its first byte
	 * @throws IOException if the connection ends within the message
	 */
	static HttpMessage read(InputStream in) throws IOException {
		String startLine = line(in);
		if (startLine == null) {
			return null;
		}
		Map<String, String> headers = headers(in);
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			return new HttpMessage(startLine, headers, chunks(in));
		}
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new EOFException("The connection ended within a body");
		}
		return new HttpMessage(startLine, headers, body);
	}

	private static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		return headers;
	}

	private static byte[] chunks(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			int length = Integer.parseInt(line(in), 16);
			body.write(in.readNBytes(length));
			line(in);
			if (length == 0) {
				return body.toByteArray();
			}
		}
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
			}
			line.write(next);
		}
		if (line.size() > 0) {
			throw new EOFException("The connection ended within a line");
		}
		return null;
	}

	String header(String name) {
		return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
	}

	String method() {
		return this.startLine.split(" ")[0];
	}

	String uri() {
		return this.startLine.split(" ")[1];
	}

	String path() {
		return uri().split("\\?")[0];
	}

	/**
	 * Returns a parameter of the query.
	 * @param name its name
	 * @return its value, empty if there is none
	 */
	String parameter(String name) {
		String[] parts = uri().split("\\?", 2);
		for (String pair : (parts.length > 1) ? parts[1].split("&") : new String[0]) {
			if (pair.startsWith(name + "=")) {
				return pair.substring(name.length() + 1);
			}
		}
		return "";
	}

	int status() {
		return Integer.parseInt(this.startLine.split(" ")[1]);
	}

}
