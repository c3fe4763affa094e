package org.ebonyford.router.peer;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.membership.VmEntry;
import org.ebonyford.membership.VmList;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.request.Ending;
import org.ebonyford.request.StoredAnswer;
import org.ebonyford.router.generated.Envelope;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link PeerCodec}.
 */
public class PeerCodecTest {

	private static final Incarnation SELF = new Incarnation(new VmId("a"), 7);

	private static final OrganisationId ACME = new OrganisationId("acme");

	private static final PoolId POOL = new PoolId("kieli");

	private static final UpstreamId UPSTREAM = new UpstreamId("kieli-1");

	private static final GrantId GRANT = new GrantId(SELF, 9);

	@DataProvider
	public Object[][] messages() {
		ClaimRecord record = new ClaimRecord(ClaimRecord.Kind.RAN, "c", ACME, new IdempotencyKey("k"),
				new Fingerprint("f"), SELF, 5, Optional.of(new StoredAnswer(200, "text/plain", "done")));
		ControlState state = new ControlState(3, "plans", "uses", Set.of(new DataCentreId("levi")),
				Set.of(new VmId("b")), Set.of(UPSTREAM));
		VmList list = new VmList(4, List.of(new VmEntry(new VmId("b"), new DataCentreId("levi"), "x:1", true)),
				List.of("kieli-2"));
		return new Object[][] { { new PeerMessage.Heartbeat(1, -1, 2, true) },
				{ new PeerMessage.Demand(POOL, 1, List.of(new PeerMessage.Demand.Line(ACME, 2, 3, 4))) },
				{ new PeerMessage.Grant(GRANT, UPSTREAM, 1, 2, POOL, ACME, 3, 4, 5) },
				{ new PeerMessage.GrantEnded(GRANT, Ending.DECLINED, 6) },
				{ new PeerMessage.Occupied(1, List.of(new PeerMessage.Occupied.Slot(UPSTREAM, 2, GRANT, ACME))) },
				{ new PeerMessage.Service(SELF, POOL, List.of(new PeerMessage.Service.Row(ACME, 1, 2, 3, true))) },
				{ new PeerMessage.Fetch(-1, 5) }, { new PeerMessage.Control(state) }, { new PeerMessage.Members(list) },
				{ new PeerMessage.Crash(new Fingerprint("f"), UPSTREAM, 1, 2) }, { new PeerMessage.ClaimQuery("c") },
				{ new PeerMessage.ClaimStatus("c", false, List.of(record)) },
				{ new PeerMessage.ClaimHandOver(List.of(record, record.renewed(5))) },
				{ new PeerMessage.ClaimsDeclined(List.of("c", "d")) } };
	}

	@Test(dataProvider = "messages")
	public void testMessageSurvivesTheWire(PeerMessage message) throws Exception {
		Envelope envelope = Envelope.parseFrom(PeerCodec.encode(SELF, message).toByteArray());
		assertEquals(PeerCodec.sender(envelope), SELF);
		assertEquals(PeerCodec.decode(envelope), Optional.of(message));
	}

	@Test
	public void testUnknownKindIsPassedOver() {
		assertEquals(PeerCodec.decode(Envelope.newBuilder().setVm("a").build()), Optional.empty());
	}

}
