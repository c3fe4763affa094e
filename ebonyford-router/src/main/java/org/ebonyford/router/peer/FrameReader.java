package org.ebonyford.router.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;

import org.ebonyford.router.generated.Envelope;

/**
 * Unpacks the frames of one stream, which a {@link FrameWriter} wrote.
 */
final class FrameReader {

	/**
	 * The bytes that are inflated at a time.
	 */
	private static final int CHUNK_BYTES = 4 * 1024;

	/**
	 * The bytes that the messages of one frame may have.
	 */
	private final int maxBytes;

	/**
	 * What went through the stream.
	 */
	private final FrameHistory history = new FrameHistory();

	/**
	 * Creates the reader of a new stream.
	 * @param maxBytes the bytes that the messages of one frame may have
	 */
	FrameReader(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Unpacks a frame.
	 * @param frame the frame
	 * @return its messages in the order in which they were written
	 * @throws IOException if the frame is malformed or too large; the stream cannot be
	 * read on
	 */
	List<Envelope> read(byte[] frame) throws IOException {
		byte[] plain = plain(frame);
		this.history.add(plain);
		ByteArrayInputStream input = new ByteArrayInputStream(plain);
		List<Envelope> messages = new ArrayList<>();
		while (input.available() > 0) {
			messages.add(Envelope.parseDelimitedFrom(input));
		}
		return messages;
	}

	private byte[] plain(byte[] frame) throws IOException {
		Inflater inflater = new Inflater(true);
		try {
			inflater.setDictionary(this.history.bytes());
			inflater.setInput(frame);
			return inflate(inflater);
		}
		catch (DataFormatException ex) {
			throw new IOException("A frame is not deflated", ex);
		}
		finally {
			inflater.end();
		}
	}

	private byte[] inflate(Inflater inflater) throws DataFormatException, IOException {
		ByteArrayOutputStream plain = new ByteArrayOutputStream();
		byte[] chunk = new byte[CHUNK_BYTES];
		while (!inflater.finished()) {
			int length = inflater.inflate(chunk);
			if (length == 0 && !inflater.finished()) {
				throw new IOException("A frame ends early");
			}
			plain.write(chunk, 0, length);
			if (plain.size() > this.maxBytes) {
				throw new IOException("A frame is too large");
			}
		}
		return plain.toByteArray();
	}

}
