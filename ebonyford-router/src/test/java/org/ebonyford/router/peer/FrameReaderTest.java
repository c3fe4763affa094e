package org.ebonyford.router.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.Deflater;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.router.generated.Envelope;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests {@link FrameReader} together with {@link FrameWriter}.
 */
public class FrameReaderTest {

	private static final Incarnation SELF = new Incarnation(new VmId("a"), 7);

	private static final int MAX_BYTES = 1_000_000;

	private static final int SEED = 17;

	private Deflater deflater;

	@BeforeMethod
	public void open() {
		this.deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);
	}

	@AfterMethod(alwaysRun = true)
	public void close() {
		this.deflater.end();
	}

	@Test
	public void testFramesOfManyStreamsAreReadAsWritten() throws Exception {
		Random random = new Random(SEED);
		List<FrameWriter> writers = new ArrayList<>();
		List<FrameReader> readers = new ArrayList<>();
		for (int stream = 0; stream < 3; stream++) {
			writers.add(new FrameWriter(this.deflater));
			readers.add(new FrameReader(MAX_BYTES));
		}
		for (int frame = 0; frame < 500; frame++) {
			int stream = random.nextInt(writers.size());
			List<Envelope> messages = messages(random, random.nextInt(40));
			assertEquals(readers.get(stream).read(writers.get(stream).write(messages)), messages, "seed " + SEED);
		}
	}

	@Test
	public void testFrameOfAnotherStreamIsRejected() {
		Random random = new Random(SEED);
		FrameWriter writer = new FrameWriter(this.deflater);
		List<Envelope> messages = messages(random, 40);
		writer.write(messages);
		byte[] second = writer.write(messages);
		assertThrows(IOException.class, () -> new FrameReader(MAX_BYTES).read(second));
	}

	@Test
	public void testFrameThatEndsEarlyIsRejected() {
		byte[] frame = new FrameWriter(this.deflater).write(messages(new Random(SEED), 40));
		byte[] part = Arrays.copyOf(frame, frame.length / 2);
		assertThrows(IOException.class, () -> new FrameReader(MAX_BYTES).read(part));
	}

	@Test
	public void testFrameThatGrowsTooLargeIsRejected() {
		byte[] frame = new FrameWriter(this.deflater).write(List.of(message("c".repeat(MAX_BYTES))));
		assertThrows(IOException.class, () -> new FrameReader(MAX_BYTES).read(frame));
	}

	private static List<Envelope> messages(Random random, int count) {
		List<Envelope> messages = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			messages.add(message("claim-" + random.nextInt(1_000)));
		}
		return messages;
	}

	private static Envelope message(String claim) {
		return PeerCodec.encode(SELF, new PeerMessage.ClaimQuery(claim));
	}

}
