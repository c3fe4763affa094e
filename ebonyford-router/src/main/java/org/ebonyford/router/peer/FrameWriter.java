package org.ebonyford.router.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.zip.Deflater;

import org.ebonyford.router.generated.Envelope;

/**
 * Packs the messages of one stream into frames. A frame holds the messages, each after
 * its length, deflated against what went through the stream before, so that a name that
 * was sent lately costs a few bits. Frames are read in the order in which they were
 * written, by one {@link FrameReader}.
 */
final class FrameWriter {

	/**
	 * The bytes that are deflated at a time.
	 */
	private static final int CHUNK_BYTES = 4 * 1024;

	/**
	 * What went through the stream.
	 */
	private final FrameHistory history = new FrameHistory();

	/**
	 * Deflates frames.
	 */
	private final Deflater deflater;

	/**
	 * Creates the writer of a new stream.
	 * @param deflater deflates one frame at a time without a header, and may be shared
	 * with other writers on the same thread
	 */
	FrameWriter(Deflater deflater) {
		this.deflater = deflater;
	}

	/**
	 * Packs messages into one frame.
	 * @param messages the messages in the order in which they are to arrive
	 * @return the frame
	 */
	byte[] write(List<Envelope> messages) {
		byte[] plain = plain(messages);
		this.deflater.reset();
		this.deflater.setDictionary(this.history.bytes());
		this.deflater.setInput(plain);
		this.deflater.finish();
		byte[] frame = deflate();
		this.history.add(plain);
		return frame;
	}

	private byte[] deflate() {
		ByteArrayOutputStream frame = new ByteArrayOutputStream();
		byte[] chunk = new byte[CHUNK_BYTES];
		while (!this.deflater.finished()) {
			int length = this.deflater.deflate(chunk);
			frame.write(chunk, 0, length);
		}
		return frame.toByteArray();
	}

	private static byte[] plain(List<Envelope> messages) {
		ByteArrayOutputStream plain = new ByteArrayOutputStream();
		try {
			for (Envelope message : messages) {
				message.writeDelimitedTo(plain);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return plain.toByteArray();
	}

}
