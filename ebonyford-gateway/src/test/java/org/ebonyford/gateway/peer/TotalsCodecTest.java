package org.ebonyford.gateway.peer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.testng.annotations.Test;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;
import org.ebonyford.total.TotalsMessage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class TotalsCodecTest {

	@Test
	public void testDecodeReturnsEncodedMessage() {
		TotalsMessage message = new TotalsMessage(TotalsMessage.Kind.OTHERS, "10.0.0.1:7400", "kz-south-a", 340, 250,
				Map.of(-5, new Load(300, 12_800, 640_000)), Map.of(9, new Usage(96_000_000, 8_000, 4_800, 1_600)),
				Map.of(-3, new PaceTotals(1_600_000_000L, 340, 4_000_000_000L, 339)));
		assertEquals(TotalsCodec.decode(TotalsCodec.encode(message)).orElseThrow(), message);
	}

	@Test
	public void testLargestMessageFitsOnePacketAndKeepsLargestEntries() {
		Map<Integer, Load> loads = new HashMap<>();
		Map<Integer, Usage> usages = new HashMap<>();
		for (int index = 0; index < 790; index++) {
			loads.put(index, new Load(index, 1L << 40, 1L << 40));
		}
		for (int index = 0; index < 2_900; index++) {
			usages.put(index, new Usage(index * 16L, 1L << 40, 1L << 40, 1L << 40));
		}
		Map<Integer, PaceTotals> paces = new HashMap<>();
		for (int index = 0; index < 20; index++) {
			paces.put(index, new PaceTotals(1L << 40, index, 1L << 40, index));
		}
		TotalsMessage decoded = TotalsCodec
			.decode(TotalsCodec.encode(new TotalsMessage(TotalsMessage.Kind.DATA_CENTRE, "255.255.255.255:65535",
					"kz-south-a", 340, Integer.MAX_VALUE, loads, usages, paces)))
			.orElseThrow();
		assertTrue(decoded.loads().containsKey(789) && decoded.usages().containsKey(2_899)
				&& decoded.paces().containsKey(19));
		assertTrue(decoded.loads().size() > 60, decoded.loads().size() + " upstreams");
	}

	@Test
	public void testInvalidMessageIsRejected() {
		byte[] bytes = TotalsCodec
			.encode(new TotalsMessage(TotalsMessage.Kind.MEMBER, "a:1", "dc", 1, 5, Map.of(1, new Load(1, 32, 32)),
					Map.of(1, new Usage(16, 16, 16, 16)), Map.of(1, new PaceTotals(1, 1, 1, 1))));
		for (int length = 0; length < bytes.length; length++) {
			assertTrue(TotalsCodec.decode(Arrays.copyOf(bytes, length)).isEmpty(), length + " bytes");
		}
		assertTrue(TotalsCodec.decode(Arrays.copyOf(bytes, bytes.length + 1)).isEmpty());
		bytes[4] = 7;
		assertTrue(TotalsCodec.decode(bytes).isEmpty(), "an unknown kind");
	}

}
