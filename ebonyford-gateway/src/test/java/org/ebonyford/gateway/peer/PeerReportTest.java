package org.ebonyford.gateway.peer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.testng.annotations.Test;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that {@link PeerReport} decodes what it encodes and fits one packet at its
 * maximum size. Loads are rounded up, so that peers do not underestimate the load of an
 * upstream. A truncated or overlong datagram must not be taken as a report.
 */
public class PeerReportTest {

	@Test
	public void testDecodeReturnsEncodedReport() {
		PeerReport report = new PeerReport("10.0.0.1:7400", 250, 7, Map.of(-5, new Load(3, 12_000, 64_000)),
				Map.of(9, new Usage(5_000, 4_000, 3_000, 2_000)), Map.of(-3, new PaceTotals(7_000, 3, 9_001, 2)));
		assertEquals(PeerReport.decode(report.encode()).orElseThrow(), report);
	}

	@Test
	public void testLargestReportFitsOnePacket() {
		Map<Integer, Load> loads = new HashMap<>();
		Map<Integer, Usage> usages = new HashMap<>();
		for (int index = 0; index < PeerReport.MAX_LOADS; index++) {
			loads.put(index, new Load(64, 1 << 30, 1 << 30));
		}
		for (int index = 0; index < PeerReport.MAX_USAGES; index++) {
			usages.put(index, new Usage(1 << 30, 1 << 30, 1 << 30, 1 << 30));
		}
		Map<Integer, PaceTotals> paces = new HashMap<>();
		for (int index = 0; index < 20; index++) {
			paces.put(index, new PaceTotals(1L << 40, index, 1L << 40, index));
		}
		byte[] bytes = new PeerReport("255.255.255.255:65535", Integer.MAX_VALUE, Long.MAX_VALUE, loads, usages, paces)
			.encode();
		assertTrue(bytes.length < 1_472, bytes.length + " bytes");
		assertEquals(PeerReport.decode(bytes).orElseThrow().loads().size(), PeerReport.MAX_LOADS);
		assertTrue(PeerReport.decode(bytes).orElseThrow().paces().containsKey(19));
	}

	@Test
	public void testLoadTokensAreRoundedUp() {
		Load load = new Load(1, 33, 1);
		PeerReport report = new PeerReport("a:1", 1, 7, Map.of(1, load), Map.of(), Map.of());
		assertEquals(PeerReport.decode(report.encode()).orElseThrow().loads().get(1), new Load(1, 64, 32));
	}

	@Test
	public void testTruncatedOrOverlongReportIsRejected() {
		byte[] bytes = new PeerReport("a:1", 1, 7, Map.of(1, Load.NONE), Map.of(1, Usage.NONE),
				Map.of(1, PaceTotals.NONE))
			.encode();
		for (int length = 0; length < bytes.length; length++) {
			assertTrue(PeerReport.decode(Arrays.copyOf(bytes, length)).isEmpty(), length + " bytes");
		}
		assertTrue(PeerReport.decode(Arrays.copyOf(bytes, bytes.length + 1)).isEmpty());
	}

}
