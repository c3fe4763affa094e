package org.ebonyford.gateway.suspect;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.suspect.CrashEvidence;
import org.ebonyford.suspect.UnansweredPrompt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that {@link CrashReport} decodes what it encodes, rejects truncated or overlong
 * datagrams, and throws no exception on damaged ones, which would fail the receiving
 * gateway.
 */
public class CrashReportTest {

	private static final UpstreamId UPSTREAM = new UpstreamId("i-1");

	@Test
	public void testDecodeReturnsEncodedReport() {
		CrashReport report = report();
		assertEquals(CrashReport.decode(report.encode()), Optional.of(report));
	}

	@Test
	public void testDamagedBytesAreRejected() {
		byte[] bytes = report().encode();
		Random random = new Random(1);
		for (int length = 0; length < bytes.length; length++) {
			assertTrue(CrashReport.decode(Arrays.copyOf(bytes, length)).isEmpty());
		}
		for (int round = 0; round < 10_000; round++) {
			byte[] damaged = bytes.clone();
			random.ints(3, 0, bytes.length).forEach((index) -> damaged[index] = (byte) random.nextInt());
			CrashReport.decode(damaged);
		}
		assertTrue(CrashReport.decode(Arrays.copyOf(bytes, bytes.length + 1)).isEmpty());
	}

	private static CrashReport report() {
		CrashEvidence crash = new CrashEvidence(UPSTREAM, 7, Set.of(request(1), request(2)), 5, 1_000,
				List.of(new UnansweredPrompt(9, List.of(10L, 11L))));
		return new CrashReport("10.0.0.1:7400", List.of(crash), List.of(request(3)),
				List.of(new CrashReport.UpstreamIncarnation(UPSTREAM, 8)), Map.of(10L, 2_000L), Map.of(11L, 600_000L));
	}

	private static Fingerprint request(int number) {
		return new Fingerprint(String.format("%0" + CrashReport.FINGERPRINT_DIGITS + "x", number));
	}

}
