package org.ebonyford.gateway.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.EventExecutor;

import org.ebonyford.catalog.CallerLimits;
import org.ebonyford.catalog.Catalog;
import org.ebonyford.catalog.EngineProfile;
import org.ebonyford.catalog.ServiceDefinition;
import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.RouterRoster;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.freshness.Freshness;
import org.ebonyford.freshness.StallGuard;
import org.ebonyford.gateway.caller.CallerServer;
import org.ebonyford.gateway.exchange.Exchange;
import org.ebonyford.gateway.exchange.ExchangeContext;
import org.ebonyford.gateway.exchange.OriginLookup;
import org.ebonyford.gateway.exchange.RefusalTally;
import org.ebonyford.gateway.exchange.ResponseMemoryBudget;
import org.ebonyford.gateway.exchange.ServiceState;
import org.ebonyford.gateway.exchange.Upstream;
import org.ebonyford.gateway.http.ConnectionPool;
import org.ebonyford.gateway.http.HttpCalls;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.GatewayEvent;
import org.ebonyford.gateway.log.LogLine;
import org.ebonyford.gateway.log.Metrics;
import org.ebonyford.gateway.rollout.RolloutFleet;
import org.ebonyford.gateway.rollout.RolloutManager;
import org.ebonyford.gateway.settings.GatewaySettings;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.RelayServer;
import org.ebonyford.gateway.store.RelayedStore;
import org.ebonyford.gateway.store.StoreBatch;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.store.StoreTopic;
import org.ebonyford.gateway.suspect.SuspectCoordinator;
import org.ebonyford.gateway.wire.Adapter;
import org.ebonyford.lifecycle.AdaptiveRequestLimiter;
import org.ebonyford.lifecycle.ConnectionLimits;
import org.ebonyford.lifecycle.EventLoopLag;
import org.ebonyford.lifecycle.OverloadWithdrawal;
import org.ebonyford.lifecycle.Readiness;
import org.ebonyford.placement.AdmissionControl;
import org.ebonyford.placement.ConnectionShare;
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.retry.ColdUpstreamLimit;
import org.ebonyford.retry.RetryBudget;
import org.ebonyford.share.OrganisationShares;
import org.ebonyford.share.ShareDecision;
import org.ebonyford.time.Clock;

/**
 * A gateway: serves callers, follows the store, exchanges reports with peers and reports
 * readiness. All its work runs on one event loop.
 */
public final class Gateway implements ExchangeContext {

	/**
	 * Interval of the periodic checks in milliseconds.
	 */
	private static final long TICK_MILLIS = 100;

	/**
	 * Margin in milliseconds by which keys are refused before the revocation bound, since
	 * a request takes time to reach the upstream.
	 */
	private static final long REVOCATION_MARGIN_MILLIS = 900;

	/**
	 * Margin in milliseconds between the end of the process and the kill.
	 */
	private static final long SHUTDOWN_MARGIN_MILLIS = 900;

	/**
	 * Minimum time in milliseconds reserved for a new request during shutdown. Most short
	 * requests take a tenth of it.
	 */
	private static final long MIN_REQUEST_MILLIS = 1_200;

	/**
	 * Factor on the average duration of a service's requests: once the balancer has
	 * noticed a shutdown, a request is accepted only if that much time is left. Few
	 * requests take longer.
	 */
	private static final double REQUEST_TIME_FACTOR = 1.5;

	/**
	 * Time in milliseconds after the start of the shutdown in which new connections still
	 * arrive: the balancer needs two failed checks, a second apart.
	 */
	private static final long BALANCER_NOTICE_MILLIS = 2_600;

	/**
	 * Interval in milliseconds between log lines on refusals: shares are judged by the
	 * second.
	 */
	private static final long REFUSAL_LOG_INTERVAL_MILLIS = 1_000;

	/**
	 * Interval in milliseconds between health checks of a silent upstream.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 500;

	/**
	 * Timeout of a health check in milliseconds.
	 */
	private static final long PROBE_TIMEOUT_MILLIS = 800;

	/**
	 * Minimum interval in milliseconds between logged requests that succeeded without
	 * incident.
	 */
	private static final long SUCCESS_LOG_INTERVAL_MILLIS = 250;

	/**
	 * Maximum time in milliseconds for which a caller's close may be unread when its
	 * request is accepted. It is below the half second after which work for a caller that
	 * has left counts as a fault.
	 */
	private static final long MAX_UNREAD_CLOSE_MILLIS = 400;

	/**
	 * Maximum number of connections that wait to be accepted. Beyond it a caller's SYN is
	 * dropped and retransmitted only after seconds.
	 */
	private static final int ACCEPT_BACKLOG = 4_096;

	/**
	 * Maximum number of connections accepted in one turn of the event loop, so that the
	 * accept queue does not fill during long turns.
	 */
	private static final int MAX_ACCEPTS_PER_TURN = 256;

	/**
	 * Maximum number of reads of a connection in one turn of the event loop: enough for a
	 * request of usual size, what follows it and the caller's close.
	 */
	private static final int MAX_READS_PER_TURN = 16;

	/**
	 * Status code of a passed health check and of a ready gateway.
	 */
	private static final int OK = 200;

	/**
	 * Status code of a gateway that is not ready.
	 */
	private static final int UNAVAILABLE = 503;

	/**
	 * The settings.
	 */
	private final GatewaySettings settings;

	/**
	 * The adapter to the platform.
	 */
	private final Adapter adapter;

	/**
	 * The monotonic clock.
	 */
	private final Clock clock;

	/**
	 * The wall clock.
	 */
	private final Clock wall;

	/**
	 * The log.
	 */
	private final EventLog log;

	/**
	 * The metrics.
	 */
	private final Metrics metrics = new Metrics();

	/**
	 * The group with the event loop's only thread.
	 */
	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	/**
	 * The event loop.
	 */
	private final EventLoop loop = this.group.next();

	/**
	 * HTTP client for calls to the store and for health checks.
	 */
	private final HttpCalls calls;

	/**
	 * The configuration and the upstreams, as read from the store.
	 */
	private final StoreView storeView;

	/**
	 * The age of the configuration.
	 */
	private final Freshness catalogFreshness;

	/**
	 * The number of clock divergences after which everything was read again.
	 */
	private int handledDivergences;

	/**
	 * Detects that the process was held up.
	 */
	private final StallGuard stalls = new StallGuard();

	/**
	 * The connections of callers.
	 */
	private final CallerServer callers;

	/**
	 * The other gateways.
	 */
	private final Peering peering;

	/**
	 * Carries out the operator's orders of roll-outs.
	 */
	private final RolloutManager rollouts;

	/**
	 * Limits retries.
	 */
	private final RetryBudget retries;

	/**
	 * The organisations' shares of the tokens.
	 */
	private final OrganisationShares shares;

	/**
	 * Memory budget of answers that are buffered before they are forwarded.
	 */
	private final ResponseMemoryBudget answerMemory;

	/**
	 * Detects that requests are read late.
	 */
	private final EventLoopLag backlog = new EventLoopLag();

	/**
	 * Limits how many requests are accepted while they are read late.
	 */
	private final AdaptiveRequestLimiter intake = new AdaptiveRequestLimiter();

	/**
	 * Decides whether the balancer sends callers to other gateways while requests are
	 * read late here.
	 */
	private final OverloadWithdrawal relief = new OverloadWithdrawal();

	/**
	 * Whether the prompts that wait at an engine are limited.
	 */
	private final boolean limitsPrefill;

	/**
	 * The listening sockets.
	 */
	private final List<Channel> listeners = new ArrayList<>();

	/**
	 * The store, {@code null} before the start.
	 */
	private MetadataStore store;

	/**
	 * Follows the topics of the store.
	 */
	private StoreFollower storeFollower;

	/**
	 * Which software versions began streams, {@code null} before the start.
	 */
	private StreamOriginStore origins;

	/**
	 * The readiness that the balancer gets.
	 */
	private boolean ready;

	/**
	 * When the shutdown started, in milliseconds, 0 before that.
	 */
	private long shutdownStartedAt;

	/**
	 * Whether all new requests are refused because the process is about to exit.
	 */
	private boolean closed;

	/**
	 * When silent upstreams were last probed, in milliseconds.
	 */
	private long lastProbeAt;

	/**
	 * Refusals since they were last logged.
	 */
	private final RefusalTally refusals = new RefusalTally();

	/**
	 * How often memory or descriptors were short since that was last logged.
	 */
	private final Map<CallerServer.Shortage, Integer> shortages = new EnumMap<>(CallerServer.Shortage.class);

	/**
	 * When refusals were last logged, in milliseconds.
	 */
	private long refusalsLoggedAt;

	/**
	 * When a request that succeeded without incident was last logged, in milliseconds.
	 */
	private long successLoggedAt;

	/**
	 * Creates a gateway without starting it.
	 * @param settings the settings
	 * @param adapter the adapter to the platform
	 * @param clock the monotonic clock
	 * @param wall the wall clock
	 * @param log the log
	 */
	public Gateway(GatewaySettings settings, Adapter adapter, Clock clock, Clock wall, EventLog log) {
		this.settings = settings;
		this.adapter = adapter;
		this.limitsPrefill = adapter.limitsPrefill(settings.platformTerms());
		this.clock = clock;
		this.wall = wall;
		this.calls = new HttpCalls(this.loop, clock);
		this.log = log;
		this.storeView = new StoreView(clock, adapter, log, settings.dataCentre(), this::createUpstream);
		this.catalogFreshness = new Freshness(clock, wall);
		this.retries = new RetryBudget(settings.retryRatio(), settings.extraRetries(), settings.retryWindowMillis(),
				clock.millis());
		this.shares = new OrganisationShares(settings.shareWindowMillis(),
				() -> catalog().map(Catalog::tokensPerSecond).orElse(0.0), this::idleEngineFraction, this::gatewayCount,
				Rendezvous.hash(settings.name()) + wall.millis());
		this.peering = new Peering(clock, settings.dataCentre(), log, this.storeView, this.shares,
				this::catalogAgeMillis, wall, this.loop);
		this.rollouts = new RolloutManager(settings.rollouts(), this.storeView.rollouts(), new OwnRolloutFleet(), clock,
				wall, log, this.metrics);
		this.storeView.onRollouts(this.rollouts::ordersChanged, this.rollouts::storeRestored);
		this.peering.onRolloutMessage(this.rollouts::receive);
		this.callers = new CallerServer(clock, () -> catalog().map(Catalog::limits).orElse(CallerLimits.DEFAULT),
				(request, responder) -> new Exchange(this, request, responder).start(), this::recordImproperRequest,
				ConnectionLimits.of(settings.maxDescriptors()),
				(long) (Runtime.getRuntime().maxMemory() * settings.requestMemoryShare()), this::recordShortage);
		this.answerMemory = new ResponseMemoryBudget(Runtime.getRuntime().maxMemory(), this.callers::sendingBytes);
	}

	/**
	 * Starts listening and reading from the store.
	 * @return the bound addresses by purpose
	 */
	public Map<String, InetSocketAddress> start() {
		Map<String, InetSocketAddress> bound = new HashMap<>();
		bound.put("readiness", listen(this.settings.readinessAddress(), new StatusServer(this::readinessPage)));
		bound.put("metrics", listen(this.settings.metricsAddress(), new StatusServer(this::metricsPage)));
		bound.put("peers", this.peering.open(this.group, this.settings.peerAddress()));
		bound.put("callers", listen(this.settings.callerAddress(), this.callers));
		this.store = new RelayedStore(this.adapter.store(this.calls, this.settings.storeAddress()), this.calls,
				this.peering::relayAddress, this::recordRelayFailure);
		this.rollouts.open(this.store, this.adapter::rolloutStatus);
		this.storeFollower = new StoreFollower(this.loop, this.store, this.catalogFreshness,
				() -> new Freshness(this.clock, this.wall), this.storeView, this.peering, this.log);
		this.origins = new StreamOriginStore(this.clock, this.wall, this.loop, this.store, new OwnFleet(), this.log);
		InetSocketAddress relay = listen(this.settings.relayAddress(), new RelayServer(this.storeFollower::source));
		registerGauges();
		this.loop.execute(() -> startTasks(relay.getPort()));
		this.log.write(LogLine.of(GatewayEvent.STARTED)
			.with("callers", String.valueOf(bound.get("callers")))
			.with("store", String.valueOf(this.settings.storeAddress())));
		return bound;
	}

	private void recordShortage(CallerServer.Shortage shortage) {
		this.metrics.count("ebonyford_shortages", "shortage=\"" + shortage.name().toLowerCase(Locale.ROOT) + "\"");
		this.shortages.merge(shortage, 1, Integer::sum);
	}

	private void logShortages() {
		if (!this.shortages.isEmpty()) {
			this.log.write(LogLine.of(GatewayEvent.SHORTAGE)
				.with("memory", this.shortages.getOrDefault(CallerServer.Shortage.MEMORY, 0))
				.with("descriptors", this.shortages.getOrDefault(CallerServer.Shortage.DESCRIPTORS, 0))
				.with("held_bytes", this.callers.heldBytes())
				.with("connections", this.callers.size()));
			this.shortages.clear();
		}
	}

	private void recordRelayFailure(StoreTopic topic, InetSocketAddress relay, Throwable cause) {
		this.log.write(LogLine.of(GatewayEvent.RELAY_FAILED)
			.with("topic", String.valueOf(topic))
			.with("relay", String.valueOf(relay))
			.with("reason", String.valueOf(cause))
			.with("view_age_ms", this.storeFollower.ageMillis()));
	}

	private InetSocketAddress listen(InetSocketAddress address, ChannelInitializer<SocketChannel> handler) {
		Channel channel = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.RCVBUF_ALLOCATOR,
					new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false)
						.maxMessagesPerRead(MAX_READS_PER_TURN))
			.childHandler(handler)
			.bind(address)
			.syncUninterruptibly()
			.channel();
		this.listeners.add(channel);
		return (InetSocketAddress) channel.localAddress();
	}

	private void registerGauges() {
		this.metrics.gauge("ebonyford_configuration_age_ms", () -> Math.min(catalogAgeMillis(), 1e9));
		this.metrics.gauge("ebonyford_connections", this.callers::size);
		this.metrics.gauge("ebonyford_request_memory_bytes", this.callers::heldBytes);
		this.metrics.gauge("ebonyford_gateways", this::gatewayCount);
		this.metrics.gauge("ebonyford_upstreams", () -> this.storeView.upstreams().size());
		this.metrics.gauge("ebonyford_upstreams_pace_unusual", this::unusualPaceCount);
		this.metrics.gauge("ebonyford_answers_unsent", this.callers::unsent);
		this.metrics.gauge("ebonyford_requests_open",
				() -> this.storeView.upstreams()
					.stream()
					.mapToInt((upstream) -> upstream.state().ownLoad().running())
					.sum() + this.callers.unsent());
		this.metrics.gauge("ebonyford_suspected_requests", suspects()::suspectCount);
		this.metrics.gauge("ebonyford_suspected_parts", suspects()::suspectedPartCount);
		this.metrics.gauge("ebonyford_rollouts_running", this.rollouts::runningCount);
		this.metrics.gauge("ebonyford_rollout_share", this.rollouts::greatestShare);
		this.metrics.gauge("ebonyford_log_lines_dropped", this.log::dropped);
	}

	private void startTasks(int relayPort) {
		this.storeFollower.readNow();
		this.peering.announce(this.loop, this.store, relayPort);
		this.loop.scheduleWithFixedDelay(this::updateBacklog, 0, EventLoopLag.PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private Upstream createUpstream(UpstreamEntry entry) {
		ServiceState service = service(entry.service());
		UpstreamState state = new UpstreamState(entry,
				() -> service.definition()
					.flatMap(ServiceDefinition::engine)
					.map(EngineProfile::memoryTokens)
					.orElse(0L),
				this::gatewayCount, this.clock.millis());
		ConnectionPool pool = new ConnectionPool(this.loop, this.clock,
				new InetSocketAddress(entry.host(), entry.port()), () -> connectionShare(service, state),
				() -> recordStrayBytes(entry));
		return new Upstream(state, pool);
	}

	private void recordStrayBytes(UpstreamEntry entry) {
		this.metrics.count("ebonyford_stray_bytes", "service=\"" + entry.service() + "\"");
		this.log
			.write(LogLine.of(GatewayEvent.STRAY_BYTES).with("upstream", entry.id()).with("service", entry.service()));
	}

	/**
	 * Returns the unused fraction of the load that the engines carry without strain.
	 * Leaves out cold and draining engines, and those that a roll-out keeps requests
	 * from.
	 * @return the fraction, from 0 to 1
	 */
	private double idleEngineFraction() {
		long now = this.clock.millis();
		List<UpstreamState> engines = this.storeView.upstreams()
			.stream()
			.map(Upstream::state)
			.filter((state) -> state.memoryTokens() > 0 && !state.entry().draining() && !state.cold(now)
					&& this.rollouts.inUse(state.entry()))
			.toList();
		return engines.isEmpty() ? 0
				: AdmissionControl.idleFraction(engines, service(engines.get(0).entry().service()).pace(), now);
	}

	private ConnectionShare connectionShare(ServiceState service, UpstreamState state) {
		int connectionLimit = service.definition().map(ServiceDefinition::connectionLimit).orElse(0);
		int usedByOthers = state.totalLoad(this.clock.millis()).running() - state.ownLoad().running();
		return ConnectionShare.of(connectionLimit, gatewayCount(), usedByOthers);
	}

	private void tick() {
		long now = this.clock.millis();
		storeViewCurrent();
		this.storeView.expire();
		this.origins.tick();
		this.storeView.upstreams().forEach((upstream) -> checkUpstream(upstream, now));
		this.callers.check(this.shutdownStartedAt > 0 && now - this.shutdownStartedAt > BALANCER_NOTICE_MILLIS);
		this.peering.tick();
		this.peering.suspects().tick();
		this.rollouts.tick();
		if (now - this.lastProbeAt >= PROBE_INTERVAL_MILLIS) {
			this.lastProbeAt = now;
			this.storeView.upstreams().forEach(this::probe);
		}
		if (now - this.refusalsLoggedAt >= REFUSAL_LOG_INTERVAL_MILLIS) {
			this.refusalsLoggedAt = now;
			logRefusals(now);
			logShortages();
		}
		this.relief.update(
				new OverloadWithdrawal.View(readingLate(), this.shares.demandRatio(now), this.peering.localPeerCount()),
				now);
		this.peering.setMayAggregate(!this.relief.overloaded(now));
		updateReadiness();
	}

	/**
	 * Logs the refusals since the last call, with the shares and engines behind them.
	 * @param now the time in milliseconds
	 */
	private void logRefusals(long now) {
		List<LogLine> lines = this.refusals
			.takeLogLines((organisation) -> this.shares.recentShare(organisation.hashCode(), now));
		long longestDelayMillis = this.backlog.drainMaxLagMillis();
		if (!lines.isEmpty()) {
			OrganisationShares.Sums sums = this.shares.sums(now);
			this.log.write(LogLine.of(GatewayEvent.SHARES)
				.with("level_tokens", sums.level())
				.with("asked_tokens", sums.requestedTokens())
				.with("served_tokens", sums.servedTokens())
				.with("organisations", sums.organisations())
				.with("sources", sums.sources())
				.with("sums_age_ms", sums.ageMillis())
				.with("late_ms", longestDelayMillis)
				.with("connections", this.callers.size()));
			lines.forEach(this.log::write);
			this.storeView.services()
				.values()
				.forEach((service) -> engineLine(service, now).ifPresent(this.log::write));
		}
	}

	/**
	 * Returns the log line on how this gateway sees the engines of a service.
	 * @param service the service
	 * @param now the time in milliseconds
	 * @return the line, or empty if the service has no engines
	 */
	private Optional<LogLine> engineLine(ServiceState service, long now) {
		if (service.definition().flatMap(ServiceDefinition::engine).isEmpty()) {
			return Optional.empty();
		}
		EngineTally tally = new EngineTally();
		service.upstreams().values().forEach((upstream) -> {
			UpstreamState state = upstream.state();
			boolean withinColdLimit = withinColdLimit(service, state, now);
			EngineTally.ExclusionReason reason = state.entry().draining() ? EngineTally.ExclusionReason.LEAVING
					: !state.health().usable(now) ? EngineTally.ExclusionReason.LEFT_OUT
							: !upstream.pool().room() ? EngineTally.ExclusionReason.NO_CONNECTION
									: !withinColdLimit ? EngineTally.ExclusionReason.COLD
											: !withinRequestLimit(state, now) ? EngineTally.ExclusionReason.LIMITED
													: EngineTally.ExclusionReason.NONE;
			tally.add(state, reason, now);
		});
		return Optional.of(tally.toLogLine(service.pace()));
	}

	@Override
	public boolean storeViewCurrent() {
		checkClocks();
		long now = this.clock.millis();
		boolean stalled = this.stalls.check(now);
		boolean outdated = this.stalls.outdated(this.storeFollower.ageMillis(), now);
		if (stalled && outdated) {
			this.log.write(LogLine.of(GatewayEvent.HELD_UP).with("view_age_ms", this.storeFollower.ageMillis()));
			this.storeFollower.readNow();
		}
		return !outdated || !this.storeFollower.storeAnswers();
	}

	private void checkClocks() {
		int divergences = this.catalogFreshness.divergences();
		if (divergences == this.handledDivergences) {
			return;
		}
		this.handledDivergences = divergences;
		this.log.write(LogLine.of(GatewayEvent.CLOCKS_DIVERGED));
		this.calls.closeIdle();
		this.storeView.upstreams().forEach((upstream) -> upstream.pool().closeIdle());
		this.storeFollower.readNow();
	}

	private void checkUpstream(Upstream upstream, long now) {
		upstream.pool().expire();
		UpstreamState state = upstream.state();
		if (state.health().checkSilence(state.ownLoad().running(), now)) {
			this.log.write(LogLine.of(GatewayEvent.UPSTREAM_SILENT)
				.with("upstream", state.entry().id())
				.with("open", state.ownLoad().running()));
		}
	}

	private void probe(Upstream upstream) {
		UpstreamState state = upstream.state();
		Optional<ServiceDefinition> definition = service(state.entry().service()).definition();
		boolean acceptsRequests = state.health().notice().accepts(this.clock.millis());
		if (!state.health().silent() || !acceptsRequests || definition.isEmpty()) {
			return;
		}
		InetSocketAddress address = new InetSocketAddress(state.entry().host(), state.entry().port());
		this.calls.call(address, HttpCalls.Call.status(definition.get().healthPath()), PROBE_TIMEOUT_MILLIS)
			.whenComplete((answer, failure) -> {
				if (failure == null && answer.status() == OK) {
					state.health().recordReceived(this.clock.millis());
					this.log.write(LogLine.of(GatewayEvent.UPSTREAM_HEARD).with("upstream", state.entry().id()));
				}
			});
	}

	private void updateReadiness() {
		String reason = unreadyReason();
		this.callers.keepsConnections(reason.isEmpty());
		if (reason.isEmpty() != this.ready) {
			this.ready = reason.isEmpty();
			this.log.write(LogLine.of(GatewayEvent.READINESS)
				.with("ready", this.ready)
				.with("reason", reason)
				.with("configuration_age_ms", catalogAgeMillis()));
		}
	}

	private String unreadyReason() {
		if (catalogSuperseded()) {
			return "the store lacks the configuration that peers know";
		}
		List<RouterRoster.Member> elsewhere = this.peering.peersInOtherDataCentres();
		long lastHeardAt = elsewhere.stream().mapToLong(RouterRoster.Member::heardAt).max().orElse(0);
		String obstacle = Readiness.obstacle(new Readiness.View(this.shutdownStartedAt > 0, catalog().isPresent(),
				catalogAgeMillis(), this.storeFollower.storeAnswers(), this.peering.minCatalogAge(), elsewhere.size(),
				this.clock.millis() - lastHeardAt));
		return (obstacle.isEmpty() && this.relief.withdrawn(this.clock.millis()))
				? "a crowd of callers is read too late" : obstacle;
	}

	private StatusServer.Page readinessPage(String path) {
		boolean knownPath = path.equals(this.adapter.readinessPath());
		return new StatusServer.Page(knownPath ? (this.ready ? OK : UNAVAILABLE) : 404, "");
	}

	private StatusServer.Page metricsPage(String path) {
		return path.equals("/metrics") ? new StatusServer.Page(OK, this.metrics.render())
				: new StatusServer.Page(404, "");
	}

	private void recordImproperRequest(int status) {
		this.log.write(LogLine.of(GatewayEvent.IMPROPER_REQUEST).with("status", status));
		this.metrics.count("ebonyford_improper_requests", "status=\"" + status + "\"");
	}

	/**
	 * Drains the gateway: finishes open requests, at the latest shortly before the kill.
	 * Accepts new requests until the balancer has noticed; once none is open, refuses all
	 * and lets the process exit.
	 * @return completes when the process may exit
	 */
	public CompletableFuture<Void> shutDown() {
		CompletableFuture<Void> ended = new CompletableFuture<>();
		this.loop.execute(() -> {
			this.shutdownStartedAt = this.clock.millis();
			this.log.write(LogLine.of(GatewayEvent.STOPPING).with("open", this.callers.busy()));
			updateReadiness();
			this.peering.withdraw(this.store);
			awaitShutdown(ended);
		});
		return ended;
	}

	private void awaitShutdown(CompletableFuture<Void> ended) {
		long elapsedMillis = this.clock.millis() - this.shutdownStartedAt;
		boolean graceOver = elapsedMillis >= this.settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS;
		boolean drained = elapsedMillis > BALANCER_NOTICE_MILLIS && !this.callers.awaited();
		if (drained && !this.closed) {
			this.closed = true;
			this.listeners.forEach(Channel::close);
			this.callers.check(true);
		}
		else if (graceOver || drained) {
			this.log.write(LogLine.of(GatewayEvent.STOPPED).with("open", this.callers.busy()));
			this.closed = true;
			this.callers.endOpen();
			this.storeFollower.close();
			ended.complete(null);
			return;
		}
		this.loop.schedule(() -> awaitShutdown(ended), TICK_MILLIS / 2, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops the event loop without waiting for open requests.
	 */
	public void close() {
		this.listeners.forEach(Channel::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Override
	public EventExecutor eventLoop() {
		return this.loop;
	}

	@Override
	public Clock clock() {
		return this.clock;
	}

	@Override
	public Clock wallClock() {
		return this.wall;
	}

	@Override
	public Adapter adapter() {
		return this.adapter;
	}

	@Override
	public EventLog log() {
		return this.log;
	}

	@Override
	public Metrics metrics() {
		return this.metrics;
	}

	@Override
	public Optional<Catalog> catalog() {
		return (this.storeView.complete() && this.rollouts.progressKnown()) ? this.storeView.catalog()
				: Optional.empty();
	}

	@Override
	public long catalogAgeMillis() {
		return this.catalogFreshness.ageMillis();
	}

	@Override
	public boolean catalogSuperseded() {
		return this.peering.storeLacksNewestCatalog();
	}

	@Override
	public boolean keysCurrent() {
		return catalogAgeMillis() < this.settings.revocationMillis() - REVOCATION_MARGIN_MILLIS;
	}

	@Override
	public boolean canFinish(boolean stream, double wholeMillis) {
		if (this.closed) {
			return false;
		}
		long workMillis = Math.max(MIN_REQUEST_MILLIS, Math.round(wholeMillis * REQUEST_TIME_FACTOR));
		long lastStartMillis = this.settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS - workMillis;
		long acceptMillis = stream ? BALANCER_NOTICE_MILLIS : Math.max(BALANCER_NOTICE_MILLIS, lastStartMillis);
		return this.shutdownStartedAt == 0 || this.clock.millis() - this.shutdownStartedAt < acceptMillis;
	}

	@Override
	public boolean readingLate() {
		return this.backlog.lagging(this.clock.millis());
	}

	@Override
	public boolean timingsReliable() {
		return this.backlog.negligible(this.clock.millis());
	}

	@Override
	public ShareDecision admitToGateway(String organisation) {
		long now = this.clock.millis();
		if (readingLate()) {
			this.intake.update(this.backlog.lagMillis(now), now);
		}
		return this.intake.admit(organisation, now);
	}

	@Override
	public void requestSent(String organisation) {
		this.intake.recordAdmitted(organisation, this.clock.millis());
	}

	private void updateBacklog() {
		long now = this.clock.millis();
		this.backlog.recordTick(now);
		this.intake.update(this.backlog.lagMillis(now), now);
	}

	@Override
	public boolean disconnectsUnnoticed() {
		return this.callers.unnoticedMillis() > MAX_UNREAD_CLOSE_MILLIS;
	}

	@Override
	public ServiceState service(String name) {
		return this.storeView.service(name);
	}

	@Override
	public List<Upstream> candidates(ServiceState service, Set<String> tried) {
		long now = this.clock.millis();
		List<Upstream> usable = new ArrayList<>();
		for (Upstream upstream : service.upstreams().values()) {
			UpstreamEntry entry = upstream.state().entry();
			if (!entry.draining() && !tried.contains(entry.id())
					&& !this.storeView.evacuated().contains(entry.dataCentre()) && upstream.state().health().usable(now)
					&& upstream.pool().room() && withinColdLimit(service, upstream.state(), now)
					&& withinRequestLimit(upstream.state(), now)) {
				usable.add(upstream);
			}
		}
		return usable;
	}

	private boolean withinColdLimit(ServiceState service, UpstreamState state, long now) {
		double rate = service.definition().map(ServiceDefinition::coldPerSecond).orElse(0.0);
		if (rate <= 0 || !state.cold(now)) {
			return true;
		}
		double limit = rate * this.settings.coldFactor() + this.settings.coldSlack();
		return this.peering.peersKnown() && state.coldRequests(now) < ColdUpstreamLimit
			.requestsPerSecond(state.entry().id(), limit, this.peering.self(), this.peering.names());
	}

	private boolean withinRequestLimit(UpstreamState state, long now) {
		OptionalDouble limit = state.health().notice().requestsPerSecond();
		return limit.isEmpty() || (this.peering.peersKnown()
				&& state.rateLimit().permits(limit.getAsDouble(), this.peering.self(), this.peering.names(), now));
	}

	@Override
	public boolean streamBackups() {
		return this.settings.streamBackups();
	}

	@Override
	public RetryBudget retryBudget() {
		return this.retries;
	}

	@Override
	public SuspectCoordinator suspects() {
		return this.peering.suspects();
	}

	@Override
	public RolloutManager rollouts() {
		return this.rollouts;
	}

	@Override
	public OriginLookup origins() {
		return this.origins;
	}

	@Override
	public OrganisationShares shares() {
		return this.shares;
	}

	@Override
	public RefusalTally refusals() {
		return this.refusals;
	}

	@Override
	public ResponseMemoryBudget responseMemory() {
		return this.answerMemory;
	}

	private long unusualPaceCount() {
		long now = this.clock.millis();
		return this.storeView.upstreams()
			.stream()
			.filter((upstream) -> upstream.state().paceUpdate(now).filter(PaceObservation::unusual).isPresent())
			.count();
	}

	@Override
	public int gatewayCount() {
		return this.peering.names().size();
	}

	@Override
	public boolean limitsPrefill() {
		return this.limitsPrefill;
	}

	@Override
	public boolean sampleSuccess() {
		long now = this.clock.millis();
		if (now - this.successLoggedAt < SUCCESS_LOG_INTERVAL_MILLIS) {
			return false;
		}
		this.successLoggedAt = now;
		return true;
	}

	/**
	 * What this gateway knows of the fleet, as far as roll-outs need it.
	 */
	private final class OwnRolloutFleet implements RolloutFleet, StoreFollower.TopicListener {

		@Override
		public String self() {
			return Gateway.this.peering.self();
		}

		@Override
		public boolean peersKnown() {
			return Gateway.this.peering.peersKnown();
		}

		@Override
		public Map<String, Long> lastHeard() {
			return Gateway.this.peering.lastHeard();
		}

		@Override
		public int gatewayCount() {
			return Gateway.this.gatewayCount();
		}

		@Override
		public List<String> live() {
			return Gateway.this.peering.live();
		}

		@Override
		public void send(byte[] bytes, String gateway) {
			Gateway.this.peering.sendTo(bytes, gateway);
		}

		@Override
		public Collection<Registered> upstreams(String service) {
			return Gateway.this.service(service)
				.upstreams()
				.values()
				.stream()
				.map(Upstream::state)
				.map((state) -> new Registered(state.entry(), state.ownLoad().running()))
				.toList();
		}

		@Override
		public long viewAgeMillis() {
			return Math.max(Gateway.this.catalogAgeMillis(), Gateway.this.storeFollower.ageMillis(StoreTopic.ROLLOUTS));
		}

		@Override
		public void followProgress(boolean wanted) {
			Gateway.this.storeFollower.follow(StoreTopic.ROLLOUTS, wanted, this);
		}

		@Override
		public void newest(StoreBatch batch) {
			Gateway.this.rollouts.progressRead(batch);
		}

		@Override
		public void record(StoreRecord record) {
			Gateway.this.rollouts.progressRead(record);
		}

	}

	/**
	 * What this gateway knows of the fleet, as far as streams need it.
	 */
	private final class OwnFleet implements StreamOriginStore.Fleet {

		@Override
		public String self() {
			return Gateway.this.peering.self();
		}

		@Override
		public int gatewayCount() {
			return Gateway.this.gatewayCount();
		}

		@Override
		public List<UpstreamEntry> upstreams() {
			return Gateway.this.storeView.upstreams().stream().map((upstream) -> upstream.state().entry()).toList();
		}

		@Override
		public long viewAgeMillis() {
			return Gateway.this.storeFollower.ageMillis();
		}

		@Override
		public boolean storeLostByAll() {
			return Gateway.this.peering.storeLostByAll();
		}

	}

}
