package org.ebonyford.router.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.Deflater;

import org.testng.annotations.Test;

import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.router.generated.Envelope;

import static org.testng.Assert.assertTrue;

/**
 * Tests {@link FrameWriter}.
 */
public class FrameWriterTest {

	private static final Incarnation SELF = new Incarnation(new VmId("kz-south-a-1"), 1_700_000_000_000L);

	@Test
	public void testNamesThatWereSentLatelyCostLittle() {
		Deflater deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);
		FrameWriter writer = new FrameWriter(deflater);
		writer.write(List.of(demand(1)));
		Envelope second = demand(2);
		int frame = writer.write(List.of(second)).length;
		deflater.end();
		assertTrue(4 * frame < second.getSerializedSize(), frame + " of " + second.getSerializedSize() + " bytes");
	}

	private static Envelope demand(int count) {
		List<PeerMessage.Demand.Line> lines = new ArrayList<>();
		for (int organisation = 0; organisation < 16; organisation++) {
			lines.add(new PeerMessage.Demand.Line(new OrganisationId("organisation-" + organisation),
					count + organisation % 3, 256, 40 + count));
		}
		return PeerCodec.encode(SELF, new PeerMessage.Demand(new PoolId("llm"), 1_000 + count, lines));
	}

}
