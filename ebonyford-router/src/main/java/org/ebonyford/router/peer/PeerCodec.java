package org.ebonyford.router.peer;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

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
import org.ebonyford.request.StoredAnswer;
import org.ebonyford.router.generated.ClaimHandOver;
import org.ebonyford.router.generated.ClaimQuery;
import org.ebonyford.router.generated.ClaimStatus;
import org.ebonyford.router.generated.ClaimsDeclined;
import org.ebonyford.router.generated.Control;
import org.ebonyford.router.generated.Crash;
import org.ebonyford.router.generated.Demand;
import org.ebonyford.router.generated.Ending;
import org.ebonyford.router.generated.Envelope;
import org.ebonyford.router.generated.Fetch;
import org.ebonyford.router.generated.Grant;
import org.ebonyford.router.generated.GrantEnded;
import org.ebonyford.router.generated.GrantName;
import org.ebonyford.router.generated.Heartbeat;
import org.ebonyford.router.generated.Members;
import org.ebonyford.router.generated.Occupied;
import org.ebonyford.router.generated.Service;

/**
 * Translates messages between routers from and to their wire form.
 */
final class PeerCodec {

	private PeerCodec() {
	}

	/**
	 * Translates a message to its wire form.
	 * @param from the process that sends the message
	 * @param message the message
	 * @return the wire form
	 */
	static Envelope encode(Incarnation from, PeerMessage message) {
		Envelope.Builder envelope = Envelope.newBuilder().setVm(from.vm().value()).setIncarnation(from.number());
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			envelope.setHeartbeat(encode(heartbeat));
		}
		else if (message instanceof PeerMessage.Demand demand) {
			envelope.setDemand(encode(demand));
		}
		else if (message instanceof PeerMessage.Grant grant) {
			envelope.setGrant(encode(grant));
		}
		else if (message instanceof PeerMessage.GrantEnded ended) {
			envelope.setGrantEnded(encode(ended));
		}
		else if (message instanceof PeerMessage.Occupied occupied) {
			envelope.setOccupied(encode(occupied));
		}
		else if (message instanceof PeerMessage.Service service) {
			envelope.setService(encode(service));
		}
		else {
			encodeKnowledge(envelope, message);
		}
		return envelope.build();
	}

	private static void encodeKnowledge(Envelope.Builder envelope, PeerMessage message) {
		if (message instanceof PeerMessage.Fetch fetch) {
			envelope.setFetch(
					Fetch.newBuilder().setControlVersion(fetch.controlVersion()).setListRevision(fetch.listRevision()));
		}
		else if (message instanceof PeerMessage.Control control) {
			envelope.setControl(encode(control.state()));
		}
		else if (message instanceof PeerMessage.Members members) {
			envelope.setMembers(encode(members.list()));
		}
		else if (message instanceof PeerMessage.Crash crash) {
			envelope.setCrash(Crash.newBuilder()
				.setFingerprint(crash.fingerprint().value())
				.setUpstream(crash.upstream().value())
				.setUpstreamIncarnation(crash.upstreamIncarnation())
				.setAlone(crash.alone()));
		}
		else if (message instanceof PeerMessage.ClaimQuery query) {
			envelope.setClaimQuery(ClaimQuery.newBuilder().setClaimId(query.claimId()));
		}
		else if (message instanceof PeerMessage.ClaimStatus status) {
			envelope.setClaimStatus(encode(status));
		}
		else if (message instanceof PeerMessage.ClaimHandOver handOver) {
			envelope.setClaimHandOver(encode(handOver));
		}
		else if (message instanceof PeerMessage.ClaimsDeclined declined) {
			envelope.setClaimsDeclined(ClaimsDeclined.newBuilder().addAllClaimIds(declined.claimIds()));
		}
	}

	private static Heartbeat encode(PeerMessage.Heartbeat heartbeat) {
		return Heartbeat.newBuilder()
			.setSentAt(heartbeat.sentAt())
			.setControlVersion(heartbeat.controlVersion())
			.setListRevision(heartbeat.listRevision())
			.setStopping(heartbeat.stopping())
			.build();
	}

	private static Demand encode(PeerMessage.Demand demand) {
		Demand.Builder builder = Demand.newBuilder().setPool(demand.pool().value()).setSentAt(demand.sentAt());
		for (PeerMessage.Demand.Line line : demand.lines()) {
			builder.addLines(Demand.Line.newBuilder()
				.setOrganisation(line.organisation().value())
				.setCount(line.count())
				.setCostHint(line.costHint())
				.setWaitedMillis(line.waitedMillis()));
		}
		return builder.build();
	}

	private static Grant encode(PeerMessage.Grant grant) {
		return Grant.newBuilder()
			.setGrant(encode(grant.grant()))
			.setUpstream(grant.upstream().value())
			.setUpstreamIncarnation(grant.upstreamIncarnation())
			.setSlot(grant.slot())
			.setPool(grant.pool().value())
			.setOrganisation(grant.organisation().value())
			.setCharged(grant.charged())
			.setEcho(grant.echo())
			.setValidMillis(grant.validMillis())
			.build();
	}

	private static GrantName encode(GrantId grant) {
		return GrantName.newBuilder()
			.setVm(grant.owner().vm().value())
			.setIncarnation(grant.owner().number())
			.setSequence(grant.sequence())
			.build();
	}

	private static GrantEnded encode(PeerMessage.GrantEnded ended) {
		return GrantEnded.newBuilder()
			.setGrant(encode(ended.grant()))
			.setEnding(Ending.valueOf(ended.ending().name()))
			.setCost(ended.cost())
			.build();
	}

	private static Occupied encode(PeerMessage.Occupied occupied) {
		Occupied.Builder builder = Occupied.newBuilder().setSentAt(occupied.sentAt());
		for (PeerMessage.Occupied.Slot slot : occupied.slots()) {
			builder.addSlots(Occupied.Slot.newBuilder()
				.setUpstream(slot.upstream().value())
				.setSlot(slot.slot())
				.setGrant(encode(slot.grant()))
				.setOrganisation(slot.organisation().value()));
		}
		return builder.build();
	}

	private static Service encode(PeerMessage.Service service) {
		Service.Builder builder = Service.newBuilder()
			.setVm(service.origin().vm().value())
			.setIncarnation(service.origin().number())
			.setPool(service.pool().value());
		for (PeerMessage.Service.Row row : service.rows()) {
			builder.addRows(Service.Row.newBuilder()
				.setOrganisation(row.organisation().value())
				.setCharged(row.charged())
				.setRefunded(row.refunded())
				.setLift(row.lift())
				.setBacklogged(row.backlogged()));
		}
		return builder.build();
	}

	private static Control encode(ControlState state) {
		return Control.newBuilder()
			.setVersion(state.version())
			.setPlans(state.plans())
			.setUses(state.uses())
			.addAllDataCentresOut(names(state.dataCentresOut(), DataCentreId::value))
			.addAllVmsOut(names(state.vmsOut(), VmId::value))
			.addAllUpstreamsOut(names(state.upstreamsOut(), UpstreamId::value))
			.build();
	}

	private static <T> List<String> names(Set<T> identifiers, Function<T, String> name) {
		return identifiers.stream().map(name).sorted().toList();
	}

	private static Members encode(VmList list) {
		Members.Builder builder = Members.newBuilder()
			.setRevision(list.revision())
			.addAllLeavingUpstreams(list.leavingUpstreams());
		for (VmEntry entry : list.entries()) {
			builder.addEntries(Members.Entry.newBuilder()
				.setVm(entry.vm().value())
				.setDataCentre(entry.dataCentre().value())
				.setAddress(entry.address())
				.setLeaving(entry.leaving()));
		}
		return builder.build();
	}

	private static ClaimStatus encode(PeerMessage.ClaimStatus status) {
		ClaimStatus.Builder builder = ClaimStatus.newBuilder()
			.setClaimId(status.claimId())
			.setRunning(status.running());
		status.record().forEach((record) -> builder.addRecord(encode(record)));
		return builder.build();
	}

	private static ClaimHandOver encode(PeerMessage.ClaimHandOver handOver) {
		ClaimHandOver.Builder builder = ClaimHandOver.newBuilder();
		handOver.statements().forEach((statement) -> builder.addStatements(encode(statement)));
		return builder.build();
	}

	private static ClaimStatus.Statement encode(ClaimRecord record) {
		ClaimStatus.Statement.Builder builder = ClaimStatus.Statement.newBuilder()
			.setKind(ClaimStatus.Kind.valueOf(record.kind().name()))
			.setClaimId(record.claimId())
			.setOrganisation(record.organisation().value())
			.setKey(record.key().value())
			.setFingerprint(record.fingerprint().value())
			.setHolderVm(record.holder().vm().value())
			.setHolderIncarnation(record.holder().number())
			.setCreatedAt(record.createdAt());
		record.answer()
			.ifPresent((answer) -> builder.setAnswer(ClaimStatus.Answer.newBuilder()
				.setStatus(answer.status())
				.setContentType(answer.contentType())
				.setBody(answer.body())));
		return builder.build();
	}

	/**
	 * Returns the process that sent a message.
	 * @param envelope the wire form
	 * @return the process
	 * @throws IllegalArgumentException if the sender has no name
	 */
	static Incarnation sender(Envelope envelope) {
		return new Incarnation(new VmId(envelope.getVm()), envelope.getIncarnation());
	}

	/**
	 * Translates a message from its wire form.
	 * @param envelope the wire form
	 * @return the message, or empty if this version does not know its kind
	 * @throws IllegalArgumentException if the message is malformed
	 */
	static Optional<PeerMessage> decode(Envelope envelope) {
		PeerMessage message = switch (envelope.getBodyCase()) {
			case HEARTBEAT -> decode(envelope.getHeartbeat());
			case DEMAND -> decode(envelope.getDemand());
			case GRANT -> decode(envelope.getGrant());
			case GRANT_ENDED -> decode(envelope.getGrantEnded());
			case OCCUPIED -> decode(envelope.getOccupied());
			case SERVICE -> decode(envelope.getService());
			case FETCH -> decode(envelope.getFetch());
			case CONTROL -> new PeerMessage.Control(decode(envelope.getControl()));
			case MEMBERS -> new PeerMessage.Members(decode(envelope.getMembers()));
			case CRASH -> decode(envelope.getCrash());
			case CLAIM_QUERY -> new PeerMessage.ClaimQuery(envelope.getClaimQuery().getClaimId());
			case CLAIM_STATUS -> decode(envelope.getClaimStatus());
			case CLAIM_HAND_OVER -> decode(envelope.getClaimHandOver());
			case CLAIMS_DECLINED -> new PeerMessage.ClaimsDeclined(envelope.getClaimsDeclined().getClaimIdsList());
			case BODY_NOT_SET -> null;
		};
		return Optional.ofNullable(message);
	}

	private static PeerMessage decode(Heartbeat heartbeat) {
		return new PeerMessage.Heartbeat(heartbeat.getSentAt(), heartbeat.getControlVersion(),
				heartbeat.getListRevision(), heartbeat.getStopping());
	}

	private static PeerMessage decode(Demand demand) {
		List<PeerMessage.Demand.Line> lines = demand.getLinesList()
			.stream()
			.map((line) -> new PeerMessage.Demand.Line(new OrganisationId(line.getOrganisation()), line.getCount(),
					line.getCostHint(), line.getWaitedMillis()))
			.toList();
		return new PeerMessage.Demand(new PoolId(demand.getPool()), demand.getSentAt(), lines);
	}

	private static PeerMessage decode(Grant grant) {
		return new PeerMessage.Grant(decode(grant.getGrant()), new UpstreamId(grant.getUpstream()),
				grant.getUpstreamIncarnation(), grant.getSlot(), new PoolId(grant.getPool()),
				new OrganisationId(grant.getOrganisation()), grant.getCharged(), grant.getEcho(),
				grant.getValidMillis());
	}

	private static GrantId decode(GrantName name) {
		return new GrantId(new Incarnation(new VmId(name.getVm()), name.getIncarnation()), name.getSequence());
	}

	private static PeerMessage decode(GrantEnded ended) {
		return new PeerMessage.GrantEnded(decode(ended.getGrant()),
				org.ebonyford.request.Ending.valueOf(ended.getEnding().name()), ended.getCost());
	}

	private static PeerMessage decode(Occupied occupied) {
		List<PeerMessage.Occupied.Slot> slots = occupied.getSlotsList()
			.stream()
			.map((slot) -> new PeerMessage.Occupied.Slot(new UpstreamId(slot.getUpstream()), slot.getSlot(),
					decode(slot.getGrant()), new OrganisationId(slot.getOrganisation())))
			.toList();
		return new PeerMessage.Occupied(occupied.getSentAt(), slots);
	}

	private static PeerMessage decode(Service service) {
		List<PeerMessage.Service.Row> rows = service.getRowsList()
			.stream()
			.map((row) -> new PeerMessage.Service.Row(new OrganisationId(row.getOrganisation()), row.getCharged(),
					row.getRefunded(), row.getLift(), row.getBacklogged()))
			.toList();
		return new PeerMessage.Service(new Incarnation(new VmId(service.getVm()), service.getIncarnation()),
				new PoolId(service.getPool()), rows);
	}

	private static PeerMessage decode(Fetch fetch) {
		return new PeerMessage.Fetch(fetch.getControlVersion(), fetch.getListRevision());
	}

	private static ControlState decode(Control control) {
		return new ControlState(control.getVersion(), control.getPlans(), control.getUses(),
				identifiers(control.getDataCentresOutList(), DataCentreId::new),
				identifiers(control.getVmsOutList(), VmId::new),
				identifiers(control.getUpstreamsOutList(), UpstreamId::new));
	}

	private static <T> Set<T> identifiers(List<String> names, Function<String, T> identifier) {
		return names.stream().map(identifier).collect(Collectors.toSet());
	}

	private static VmList decode(Members members) {
		List<VmEntry> entries = members.getEntriesList()
			.stream()
			.map((entry) -> new VmEntry(new VmId(entry.getVm()), new DataCentreId(entry.getDataCentre()),
					entry.getAddress(), entry.getLeaving()))
			.toList();
		return new VmList(members.getRevision(), entries, members.getLeavingUpstreamsList());
	}

	private static PeerMessage decode(Crash crash) {
		return new PeerMessage.Crash(new Fingerprint(crash.getFingerprint()), new UpstreamId(crash.getUpstream()),
				crash.getUpstreamIncarnation(), crash.getAlone());
	}

	private static PeerMessage decode(ClaimStatus status) {
		return new PeerMessage.ClaimStatus(status.getClaimId(), status.getRunning(),
				status.getRecordList().stream().map(PeerCodec::decode).toList());
	}

	private static PeerMessage decode(ClaimHandOver handOver) {
		return new PeerMessage.ClaimHandOver(handOver.getStatementsList().stream().map(PeerCodec::decode).toList());
	}

	private static ClaimRecord decode(ClaimStatus.Statement statement) {
		Optional<StoredAnswer> answer = statement.hasAnswer()
				? Optional.of(new StoredAnswer(statement.getAnswer().getStatus(),
						statement.getAnswer().getContentType(), statement.getAnswer().getBody()))
				: Optional.empty();
		return new ClaimRecord(ClaimRecord.Kind.valueOf(statement.getKind().name()), statement.getClaimId(),
				new OrganisationId(statement.getOrganisation()), new IdempotencyKey(statement.getKey()),
				new Fingerprint(statement.getFingerprint()),
				new Incarnation(new VmId(statement.getHolderVm()), statement.getHolderIncarnation()),
				statement.getCreatedAt(), answer);
	}

}
