import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages. */
final class Http {

	private Http() {
	}

	/** Reads a line; empty also at the end of the connection. */
	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
			line.write(next);
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.putIfAbsent(line.substring(0, colon), line.substring(colon + 1).strip());
		}
		return headers;
	}

	/** Reads a body in chunks and tells each as it comes; fails if the last chunk is missing. */
	static byte[] chunks(InputStream in, Runnable told) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String size = line(in);
			if (size.isEmpty()) {
				throw new EOFException("the connection ended after " + body.size() + " bytes of the body");
			}
			int length = Integer.parseInt(size.strip(), 16);
			byte[] chunk = in.readNBytes(length);
			line(in);
			if (chunk.length < length) {
				throw new EOFException("the connection ended after " + body.size() + " bytes of the body");
			}
			if (length == 0) {
				return body.toByteArray();
			}
			body.writeBytes(chunk);
			told.run();
		}
	}

}
