package org.ebonyford.gateway.process;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

import org.ebonyford.catalog.Catalog;
import org.ebonyford.directory.RelayChoice;
import org.ebonyford.directory.ReportInterval;
import org.ebonyford.directory.RouterRoster;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.freshness.Freshness;
import org.ebonyford.gateway.exchange.Upstream;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.peer.PeerReport;
import org.ebonyford.gateway.peer.PeerSocket;
import org.ebonyford.gateway.peer.TotalsCodec;
import org.ebonyford.gateway.rollout.RolloutMessage;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.store.StoreTopic;
import org.ebonyford.gateway.suspect.CrashReport;
import org.ebonyford.gateway.suspect.SuspectCoordinator;
import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.share.OrganisationShares;
import org.ebonyford.time.Clock;
import org.ebonyford.total.Totals;
import org.ebonyford.total.TotalsExchange;
import org.ebonyford.total.TotalsInterval;
import org.ebonyford.total.TotalsMessage;

/**
 * Connects a gateway to its peers: announces it in the store, discovers the other
 * gateways there, and exchanges reports and totals with them.
 */
final class Peering implements SuspectCoordinator.ReportPublisher {

	/**
	 * Minimum time in milliseconds for which the configuration age in a peer's report is
	 * valid.
	 */
	private static final long MIN_REPORT_VALIDITY_MILLIS = 2_500;

	/**
	 * Maximum age in milliseconds of the configuration of a peer that relays the store:
	 * over twice the longest wait of a read.
	 */
	private static final long MAX_RELAY_CATALOG_AGE_MILLIS = 1_500;

	/**
	 * Prefix of the store key under which a gateway keeps the crashes that it has seen;
	 * its name follows.
	 */
	private static final String CRASHES_KEY_PREFIX = "crashes ";

	/**
	 * The address, the data centre and the relay port of an announcement.
	 */
	private static final Pattern ANNOUNCEMENT = Pattern.compile("(\\S+):([0-9]{1,5}) (\\S+) ([0-9]{1,5})");

	/**
	 * The monotonic clock.
	 */
	private final Clock clock;

	/**
	 * The data centre of this gateway.
	 */
	private final String dataCentre;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * The services and upstreams whose pace and load are exchanged.
	 */
	private final StoreView storeView;

	/**
	 * The organisations' shares, whose usage is exchanged.
	 */
	private final OrganisationShares shares;

	/**
	 * The age of the configuration in milliseconds.
	 */
	private final LongSupplier catalogAge;

	/**
	 * Sends and receives datagrams.
	 */
	private final PeerSocket reports;

	/**
	 * Tracks requests that are suspected of crashing upstreams.
	 */
	private final SuspectCoordinator suspects;

	/**
	 * Receives messages on roll-outs.
	 */
	private Consumer<RolloutMessage> rolloutReceiver = (message) -> {
	};

	/**
	 * The store, {@code null} before the gateway listens.
	 */
	private MetadataStore store;

	/**
	 * Retries the announcement.
	 */
	private EventExecutor announceLoop;

	/**
	 * The port at which peers read from the relay.
	 */
	private int relayPort;

	/**
	 * The newest version of the configuration that a peer has told.
	 */
	private long newestCatalogVersion;

	/**
	 * When a peer first told of it, in milliseconds.
	 */
	private long newestCatalogToldAt;

	/**
	 * By peer name, the age of its configuration in milliseconds and when the report
	 * arrived.
	 */
	private final Map<String, long[]> catalogAgesByPeer = new HashMap<>();

	/**
	 * This gateway's part in aggregating the totals of all gateways.
	 */
	private TotalsExchange totals;

	/**
	 * The other gateways.
	 */
	private RouterRoster roster = new RouterRoster("");

	/**
	 * Names of the gateways that may be alive, this one first.
	 */
	private List<String> names = List.of("");

	/**
	 * Whether the announcements have been read, so that the other gateways are known.
	 */
	private boolean peersKnown;

	/**
	 * Whether this gateway has withdrawn its announcement.
	 */
	private boolean withdrawn;

	/**
	 * When reports were last sent, in milliseconds.
	 */
	private long lastReportAt;

	Peering(Clock clock, String dataCentre, EventLog log, StoreView storeView, OrganisationShares shares,
			LongSupplier catalogAge, Clock wall, Executor loop) {
		this.suspects = new SuspectCoordinator(clock, wall, log, loop, this);
		this.reports = new PeerSocket(this::applyReport, this::totals, this.suspects::receive,
				this::applyRolloutMessage);
		this.totals = new TotalsExchange("", dataCentre);
		this.clock = clock;
		this.dataCentre = dataCentre;
		this.log = log;
		this.storeView = storeView;
		this.shares = shares;
		this.catalogAge = catalogAge;
	}

	InetSocketAddress open(EventLoopGroup group, InetSocketAddress address) {
		InetSocketAddress bound = this.reports.open(group, address);
		String self = bound.getAddress().getHostAddress() + ":" + bound.getPort();
		this.roster = new RouterRoster(self);
		this.totals = new TotalsExchange(self, this.dataCentre);
		this.names = List.of(self);
		return bound;
	}

	/**
	 * Returns the name of this gateway, which is the address at which peers reach it.
	 * @return the name
	 */
	String self() {
		return this.names.get(0);
	}

	/**
	 * Returns whether the other gateways are known.
	 * @return {@code false} after a start, until their announcements have been read
	 */
	boolean peersKnown() {
		return this.peersKnown;
	}

	/**
	 * Returns the names of the gateways that may be alive.
	 * @return the names, that of this gateway first
	 */
	List<String> names() {
		return this.names;
	}

	/**
	 * Returns the requests that are suspected of crashing upstreams.
	 * @return the suspects, shared with the other gateways
	 */
	SuspectCoordinator suspects() {
		return this.suspects;
	}

	@Override
	public String name() {
		return self();
	}

	@Override
	public void sendToPeers(CrashReport news) {
		byte[] bytes = news.encode();
		this.roster.peers(this.clock.millis()).forEach((peer) -> send(bytes, peer));
	}

	@Override
	public CompletableFuture<Void> saveToStore(Optional<CrashReport> news) {
		return this.store.append(StoreTopic.GATEWAYS, CRASHES_KEY_PREFIX + self(), news.map(CrashReport::encode));
	}

	/**
	 * Sets what receives messages on roll-outs.
	 * @param receiver the receiver
	 */
	void onRolloutMessage(Consumer<RolloutMessage> receiver) {
		this.rolloutReceiver = receiver;
	}

	private void applyRolloutMessage(RolloutMessage message) {
		this.roster.heard(message.report().gateway(), this.clock.millis());
		this.rolloutReceiver.accept(message);
	}

	/**
	 * Sends a datagram to a peer.
	 * @param bytes the datagram
	 * @param name the name of the peer
	 */
	void sendTo(byte[] bytes, String name) {
		this.roster.peers(this.clock.millis())
			.stream()
			.filter((peer) -> peer.name().equals(name))
			.findFirst()
			.ifPresent((peer) -> send(bytes, peer));
	}

	/**
	 * Returns when each gateway that may be alive was last heard.
	 * @return the times in milliseconds by name, with this gateway
	 */
	Map<String, Long> lastHeard() {
		return this.roster.lastHeard(this.clock.millis());
	}

	/**
	 * Returns the gateways that were heard recently, without those that have told that
	 * they have lost the store.
	 * @return the names, with this gateway
	 */
	List<String> live() {
		long now = this.clock.millis();
		long maxSilenceMillis = ReportInterval.validMillis(this.names.size());
		List<String> live = new ArrayList<>(List.of(self()));
		this.roster.peers(now).stream().filter((peer) -> now - peer.heardAt() <= maxSilenceMillis).filter((peer) -> {
			long[] age = this.catalogAgesByPeer.get(peer.name());
			return age == null || age[0] < MIN_REPORT_VALIDITY_MILLIS;
		}).forEach((peer) -> live.add(peer.name()));
		return live;
	}

	/**
	 * Announces this gateway in the store; retries each second until the store accepts
	 * it.
	 * @param loop the event loop
	 * @param store the store
	 * @param relayPort the port at which peers read from the relay
	 */
	void announce(EventExecutor loop, MetadataStore store, int relayPort) {
		this.store = store;
		this.announceLoop = loop;
		this.relayPort = relayPort;
		if (this.withdrawn) {
			return;
		}
		byte[] value = (this.dataCentre + " " + relayPort).getBytes(StandardCharsets.UTF_8);
		store.append(StoreTopic.GATEWAYS, self(), Optional.of(value)).whenComplete((done, failure) -> {
			if (failure != null) {
				loop.schedule(() -> announce(loop, store, relayPort), 1, TimeUnit.SECONDS);
			}
		});
	}

	void withdraw(MetadataStore store) {
		this.withdrawn = true;
		store.append(StoreTopic.GATEWAYS, self(), Optional.empty());
	}

	/**
	 * Applies a snapshot with the newest record of each gateway.
	 * @param batch the records
	 */
	void applyAnnouncements(StoreBatch batch) {
		batch.records().forEach(this::applyAnnouncement);
		this.peersKnown = true;
		this.suspects.storeRead();
	}

	/**
	 * Applies the gateways' records after the store has come back from an older copy, and
	 * writes again what this gateway wrote.
	 * @param batch the records
	 */
	void applyRestoredAnnouncements(StoreBatch batch) {
		applyAnnouncements(batch);
		if (this.withdrawn) {
			withdraw(this.store);
		}
		else if (this.store != null) {
			announce(this.announceLoop, this.store, this.relayPort);
		}
		this.suspects.storeRestored();
	}

	void applyAnnouncement(StoreRecord record) {
		if (record.key().startsWith(CRASHES_KEY_PREFIX)) {
			boolean own = record.key().equals(CRASHES_KEY_PREFIX + self());
			record.value()
				.flatMap(CrashReport::decode)
				.ifPresent(own ? this.suspects::restoreOwn : this.suspects::addStored);
			return;
		}
		if (record.value().isEmpty()) {
			this.roster.withdrawn(record.key(), this.clock.millis());
		}
		else {
			Matcher announced = ANNOUNCEMENT
				.matcher(record.key() + " " + new String(record.value().get(), StandardCharsets.UTF_8));
			if (!announced.matches() || port(announced, 2) == 0 || port(announced, 4) == 0) {
				this.log.write(LogLine.of(GatewayEvent.UNREADABLE_RECORD).with("key", record.key()));
			}
			else {
				RouterRoster.Member member = new RouterRoster.Member(record.key(), announced.group(3),
						announced.group(1), port(announced, 2), port(announced, 4), this.clock.millis());
				this.roster.announced(member);
				sendFirstReport(member);
			}
		}
		refreshNames();
	}

	private static int port(Matcher announced, int group) {
		int port = Integer.parseInt(announced.group(group));
		return (port <= UpstreamEntry.GREATEST_PORT) ? port : 0;
	}

	/**
	 * Sends a report at once to a new gateway of this data centre, so that it can choose
	 * the peer that relays the store to it.
	 * @param member the gateway
	 */
	private void sendFirstReport(RouterRoster.Member member) {
		if (member.dataCentre().equals(this.dataCentre) && !member.name().equals(self())) {
			send(report(), member);
		}
	}

	/**
	 * Sends totals and a report if they are due.
	 */
	void tick() {
		refreshNames();
		long now = this.clock.millis();
		if (TotalsInterval.enabled(this.names.size())) {
			completeRound(this.totals.tick(recentPeersByDataCentre(now), ownTotals(now), now), now);
		}
		if (now - this.lastReportAt < ReportInterval.millis(this.names.size())) {
			return;
		}
		this.lastReportAt = now;
		byte[] bytes = report();
		this.roster.peers(now).forEach((peer) -> send(bytes, peer));
	}

	private Map<String, List<String>> recentPeersByDataCentre(long now) {
		long maxSilenceMillis = ReportInterval.validMillis(this.names.size());
		return this.roster.peers(now)
			.stream()
			.filter((peer) -> now - peer.heardAt() <= maxSilenceMillis)
			.collect(Collectors.groupingBy(RouterRoster.Member::dataCentre,
					Collectors.mapping(RouterRoster.Member::name, Collectors.toList())));
	}

	private Totals ownTotals(long now) {
		return new Totals(1, now, ownLoads(), this.shares.ownUsage(PeerReport.MAX_USAGES, now), ownPaces(now),
				statedPaces(now, 0));
	}

	private Map<Integer, PaceTotals> ownPaces(long now) {
		Map<Integer, PaceTotals> paces = new HashMap<>();
		this.storeView.services().forEach((name, service) -> {
			PaceTotals own = service.pace().own(now);
			if (!own.equals(PaceTotals.NONE)) {
				paces.put(name.hashCode(), own);
			}
		});
		return paces;
	}

	/**
	 * Returns the paces that upstreams stated and that other gateways need to know.
	 * @param now the time in milliseconds
	 * @param origin the time in milliseconds from which the times of observation count
	 * @return the paces by the short hash of the upstream
	 */
	private Map<Integer, PaceObservation> statedPaces(long now, long origin) {
		Map<Integer, PaceObservation> paces = new HashMap<>();
		this.storeView.upstreams()
			.stream()
			.map(Upstream::state)
			.forEach((state) -> state.paceUpdate(now)
				.ifPresent((pace) -> paces.put(state.shortHash(), pace.later(-origin))));
		return paces;
	}

	private void recordStatedPaces(Map<Integer, PaceObservation> paces, long origin) {
		if (!paces.isEmpty()) {
			this.storeView.upstreams()
				.stream()
				.map(Upstream::state)
				.filter((state) -> paces.containsKey(state.shortHash()))
				.forEach((state) -> state.recordPace(paces.get(state.shortHash()).later(origin)));
		}
	}

	private void totals(TotalsMessage message) {
		long now = this.clock.millis();
		this.roster.heard(message.sender(), now);
		completeRound(this.totals.receive(message, now), now);
	}

	private void completeRound(TotalsExchange.Result round, long now) {
		round.others().ifPresent((others) -> applyTotals(others, now));
		if (round.envelopes().isEmpty()) {
			return;
		}
		Map<String, RouterRoster.Member> members = new HashMap<>();
		this.roster.peers(now).forEach((peer) -> members.put(peer.name(), peer));
		round.envelopes().forEach((envelope) -> {
			RouterRoster.Member receiver = members.get(envelope.receiver());
			if (receiver != null) {
				send(TotalsCodec.encode(envelope.message()), receiver);
			}
		});
	}

	/**
	 * Applies the totals of all other gateways, unless direct reports cover more
	 * gateways.
	 * @param others the totals
	 * @param now the time in milliseconds
	 */
	private void applyTotals(Totals others, long now) {
		recordStatedPaces(others.statedPaces(), 0);
		List<RouterRoster.Member> peers = this.roster.peers(now);
		long maxSilenceMillis = ReportInterval.millis(this.names.size()) * 5 / 4;
		int recentPeers = (int) peers.stream().filter((peer) -> now - peer.heardAt() <= maxSilenceMillis).count();
		if (!others.covers(recentPeers)) {
			return;
		}
		int localGateways = (int) peers.stream().filter((peer) -> peer.dataCentre().equals(this.dataCentre)).count()
				+ 1;
		long until = now + TotalsInterval.validMillis(localGateways);
		this.shares.updateOtherRouters(others.usages(), others.measuredAt(), until);
		this.storeView.services()
			.forEach((name, service) -> service.pace()
				.recordOthers(others.paces().getOrDefault(name.hashCode(), PaceTotals.NONE), until, now));
		this.storeView.upstreams()
			.stream()
			.map(Upstream::state)
			.forEach(
					(state) -> state.recordOtherLoad(others.loads().getOrDefault(state.shortHash(), Load.NONE), until));
	}

	private Map<Integer, Load> ownLoads() {
		Map<Integer, Load> loads = new HashMap<>();
		this.storeView.upstreams()
			.stream()
			.map(Upstream::state)
			.filter((state) -> state.ownLoad().running() > 0)
			.sorted(Comparator.comparingInt((UpstreamState state) -> state.ownLoad().running()).reversed())
			.limit(PeerReport.MAX_LOADS)
			.forEach((state) -> loads.put(state.shortHash(), state.ownLoad()));
		return loads;
	}

	private byte[] report() {
		long now = this.clock.millis();
		Map<Integer, Load> loads = ownLoads();
		return new PeerReport(self(), (int) Math.min(this.catalogAge.getAsLong(), Integer.MAX_VALUE), catalogVersion(),
				loads, this.shares.ownUsage(PeerReport.MAX_USAGES, now), ownPaces(now), statedPaces(now, now))
			.encode();
	}

	private long catalogVersion() {
		return this.storeView.catalog().map(Catalog::version).orElse(0L);
	}

	/**
	 * Returns whether the store has lost the newest configuration: it was asked for the
	 * configuration after a peer told of a newer version than it returned.
	 * @return {@code true} until the operator has written that version again
	 */
	boolean storeLacksNewestCatalog() {
		long askedAt = this.clock.millis() - this.catalogAge.getAsLong();
		return this.newestCatalogVersion > catalogVersion() && this.newestCatalogToldAt < askedAt;
	}

	private void send(byte[] bytes, RouterRoster.Member peer) {
		this.reports.send(bytes, new InetSocketAddress(peer.host(), peer.port()));
	}

	/**
	 * Returns the minimum configuration age in the valid reports of peers.
	 * @return the age in milliseconds, {@link Freshness#UNKNOWN_AGE} without a valid
	 * report
	 */
	long minCatalogAge() {
		long now = this.clock.millis();
		return this.catalogAgesByPeer.values()
			.stream()
			.filter((age) -> now - age[1] < MIN_REPORT_VALIDITY_MILLIS)
			.mapToLong((age) -> age[0] + now - age[1])
			.min()
			.orElse(Freshness.UNKNOWN_AGE);
	}

	/**
	 * Returns whether all other gateways have told of late that they have not reached the
	 * store for longer than a report is valid.
	 * @return {@code false} if one has reached it, or has not been heard
	 */
	boolean storeLostByAll() {
		long now = this.clock.millis();
		long maxSilenceMillis = Math.max(MIN_REPORT_VALIDITY_MILLIS, ReportInterval.validMillis(this.names.size()));
		return this.roster.peers(now).stream().allMatch((peer) -> {
			long[] age = this.catalogAgesByPeer.get(peer.name());
			return age != null && now - age[1] < maxSilenceMillis && age[0] > MIN_REPORT_VALIDITY_MILLIS;
		});
	}

	/**
	 * Returns the gateways in other data centres that may be alive.
	 * @return the gateways, or all others if there is one data centre only
	 */
	List<RouterRoster.Member> peersInOtherDataCentres() {
		return this.roster.elsewhere(this.dataCentre, this.clock.millis());
	}

	/**
	 * Sets whether this gateway may aggregate the totals of others. One that reads
	 * requests late may not.
	 * @param eligible whether it may aggregate from now on
	 */
	void setMayAggregate(boolean eligible) {
		this.totals.eligibleAsCollector(eligible);
	}

	/**
	 * Returns the number of other gateways of this data centre with a valid report.
	 * @return the number
	 */
	int localPeerCount() {
		return recentPeersByDataCentre(this.clock.millis()).getOrDefault(this.dataCentre, List.of()).size();
	}

	/**
	 * Returns the relay of the peer through which this gateway reads the store.
	 * @return the address, or empty if this gateway reads from the store directly
	 */
	Optional<InetSocketAddress> relayAddress() {
		long now = this.clock.millis();
		List<RouterRoster.Member> alive = this.roster.peers(now)
			.stream()
			.filter((peer) -> canRelay(peer, now))
			.toList();
		RouterRoster.Member self = new RouterRoster.Member(self(), this.dataCentre, "", 0, 0, now);
		return RelayChoice.of(self, alive).map((peer) -> new InetSocketAddress(peer.host(), peer.relayPort()));
	}

	private boolean canRelay(RouterRoster.Member peer, long now) {
		long[] age = this.catalogAgesByPeer.get(peer.name());
		long maxReportAgeMillis = Math.max(MIN_REPORT_VALIDITY_MILLIS, ReportInterval.validMillis(this.names.size()));
		return age != null && now - age[1] < maxReportAgeMillis && age[0] < MAX_RELAY_CATALOG_AGE_MILLIS;
	}

	private void applyReport(PeerReport report) {
		long now = this.clock.millis();
		this.roster.heard(report.name(), now);
		this.catalogAgesByPeer.put(report.name(), new long[] { report.catalogAgeMillis(), now });
		if (report.catalogVersion() > this.newestCatalogVersion) {
			this.newestCatalogVersion = report.catalogVersion();
			this.newestCatalogToldAt = now;
		}
		this.shares.updatePeer(report.name(), report.usages(), now);
		recordStatedPaces(report.statedPaces(), now);
		long until = now + ReportInterval.validMillis(this.names.size());
		this.storeView.services()
			.forEach((name, service) -> service.pace()
				.recordPeer(report.name(), report.paces().getOrDefault(name.hashCode(), PaceTotals.NONE), until, now));
		this.storeView.upstreams().forEach((upstream) -> {
			Load load = report.loads().getOrDefault(upstream.state().shortHash(), Load.NONE);
			upstream.state().recordPeerLoad(report.name(), load, now);
		});
	}

	private void refreshNames() {
		List<String> now = this.roster.names(this.clock.millis());
		if (now.size() != this.names.size()) {
			this.log.write(LogLine.of(GatewayEvent.PEER).with("gateways", now.size()));
		}
		this.names = now;
	}

}
