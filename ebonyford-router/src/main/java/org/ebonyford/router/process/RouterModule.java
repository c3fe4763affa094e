package org.ebonyford.router.process;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;

import org.ebonyford.admission.Admission;
import org.ebonyford.configuration.Configuration;
import org.ebonyford.effect.Effect;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.RequestId;
import org.ebonyford.reducer.Reducer;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.EventSink;
import org.ebonyford.router.caller.CallerMetrics;
import org.ebonyford.router.caller.CallerServlet;
import org.ebonyford.router.caller.CallerSettings;
import org.ebonyford.router.caller.PendingRequests;
import org.ebonyford.router.caller.ProblemErrorHandler;
import org.ebonyford.router.control.ControlRecordCodec;
import org.ebonyford.router.evidence.EvidenceAppender;
import org.ebonyford.router.log.ClaimAppender;
import org.ebonyford.router.log.HttpLogClient;
import org.ebonyford.router.log.LogTailer;
import org.ebonyford.router.loop.EventLoop;
import org.ebonyford.router.operator.OperatorResource;
import org.ebonyford.router.operator.PrometheusText;
import org.ebonyford.router.peer.PeerLinks;
import org.ebonyford.router.peer.PeerServer;
import org.ebonyford.router.platform.JsonReader;
import org.ebonyford.router.platform.LoadPoller;
import org.ebonyford.router.platform.VmListPoller;
import org.ebonyford.router.settings.RouterKeys;
import org.ebonyford.router.settings.RouterSettings;
import org.ebonyford.router.upstream.Exchanges;
import org.ebonyford.router.upstream.UpstreamConnections;
import org.ebonyford.time.Clock;

/**
 * Puts the parts of a router together.
 */
final class RouterModule extends AbstractModule {

	/**
	 * The threads that run what is due at a time.
	 */
	private static final int SCHEDULER_THREADS = 2;

	/**
	 * The organisations, and likewise the classes, that get metrics of their own.
	 */
	private static final int MAX_METRIC_NAMES = 200;

	/**
	 * The settings.
	 */
	private final RouterSettings settings;

	/**
	 * The bounds of each part.
	 */
	private final SettingsMapping mapping;

	/**
	 * The configuration that callers are served under.
	 */
	private final AtomicReference<Configuration> configuration = new AtomicReference<>();

	/**
	 * The event loop, which is set once it is made.
	 */
	private final AtomicReference<EventLoop> loop = new AtomicReference<>();

	/**
	 * Creates the module.
	 * @param settings the settings
	 */
	RouterModule(RouterSettings settings) {
		this.settings = settings;
		this.mapping = new SettingsMapping(settings);
	}

	@Override
	protected void configure() {
		bind(Clock.class).toInstance(Clock.ForSystem.INSTANCE);
		bind(MetricRegistry.class).toInstance(new MetricRegistry());
		bind(EventSink.class).toInstance((event) -> this.loop.get().accept(event));
		bind(RouterProcess.Exit.class).toInstance(new RouterProcess.Exit(new CompletableFuture<>()));
		bind(Incarnation.class).toInstance(new Incarnation(this.settings.vm(), Clock.ForEpoch.INSTANCE.millis()));
		bind(ControlRecordCodec.class).toInstance(new ControlRecordCodec());
	}

	@Provides
	@Singleton
	Reducer reducer(Incarnation self) {
		return new Reducer(this.mapping.reducer(), self, this.settings.dataCentre(), Admission.ByPlan.INSTANCE);
	}

	@Provides
	@Singleton
	ScheduledExecutorService scheduler() {
		return Executors.newScheduledThreadPool(SCHEDULER_THREADS, (task) -> {
			Thread thread = new Thread(task, "scheduler");
			thread.setDaemon(true);
			return thread;
		});
	}

	private static ScheduledExecutorService evidenceExecutor() {
		return Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "evidence");
			thread.setDaemon(true);
			return thread;
		});
	}

	@Provides
	@Singleton
	CloseableHttpAsyncClient platformClient() {
		return JsonReader.client(this.settings.value(RouterKeys.Platform.CONNECT_TIMEOUT));
	}

	@Provides
	@Singleton
	JsonReader jsonReader(CloseableHttpAsyncClient client) {
		return new JsonReader(client, new ObjectMapper());
	}

	@Provides
	@Singleton
	HttpLogClient logClient() {
		return HttpLogClient.of(this.settings.value(RouterKeys.Platform.LOG), this.mapping.log());
	}

	@Provides
	@Singleton
	LogReaders logReaders(HttpLogClient client, EventSink sink, Clock clock, ScheduledExecutorService scheduler,
			ControlRecordCodec codec) {
		return new LogReaders(List.of(LogTailer.ofControl(client, sink, clock, scheduler, codec::decode),
				LogTailer.ofClaims(client, sink, clock, scheduler)));
	}

	@Provides
	@Singleton
	VmListPoller list(JsonReader reader, EventSink sink, Clock clock) {
		return new VmListPoller(reader, this.settings.value(RouterKeys.Platform.LIST).toString(),
				this.settings.value(RouterKeys.Platform.LIST_POLL), sink, clock);
	}

	@Provides
	@Singleton
	LoadPoller load(JsonReader reader, EventSink sink, Clock clock) {
		return new LoadPoller(reader, this.settings.value(RouterKeys.Upstreams.LOAD_POLL),
				this.settings.value(RouterKeys.Upstreams.LOAD_TIMEOUT), sink, clock);
	}

	@Provides
	@Singleton
	PeerServer peerServer(EventSink sink, Clock clock, MetricRegistry metrics) {
		return new PeerServer(this.mapping.peers(), sink, clock, metrics);
	}

	@Provides
	@Singleton
	PeerLinks peerLinks(Incarnation self, MetricRegistry metrics) {
		return new PeerLinks(self, this.mapping.peers(), metrics);
	}

	@Provides
	@Singleton
	CallerSettings callerSettings() {
		return this.mapping.callers();
	}

	@Provides
	@Singleton
	CallerMetrics callerMetrics(MetricRegistry metrics) {
		return new CallerMetrics(metrics, MAX_METRIC_NAMES, System::nanoTime);
	}

	@Provides
	@Singleton
	PendingRequests pendingRequests(CallerSettings bounds) {
		return new PendingRequests(bounds);
	}

	@Provides
	@Singleton
	Supplier<RequestId> requestIds() {
		AtomicLong sequence = new AtomicLong();
		String prefix = this.settings.vm() + "-" + UUID.randomUUID() + "-";
		return () -> new RequestId(prefix + sequence.incrementAndGet());
	}

	@Provides
	@Singleton
	CallerServlet callerServlet(Clock clock, EventSink sink, CallerSettings bounds, Supplier<RequestId> ids,
			PendingRequests pending, CallerMetrics metrics) {
		return new CallerServlet(() -> Optional.ofNullable(this.configuration.get()), clock, sink, bounds, ids, pending,
				metrics);
	}

	@Provides
	@Singleton
	UpstreamConnections upstreamConnections(CallerSettings bounds, ScheduledExecutorService scheduler) {
		return new UpstreamConnections(this.mapping.upstreams(), bounds.streamBufferBytes(), scheduler);
	}

	@Provides
	@Singleton
	Exchanges exchanges(UpstreamConnections connections, PendingRequests pending, CallerMetrics metrics, Clock clock,
			EventSink sink, ScheduledExecutorService scheduler) {
		return new Exchanges(connections, this.mapping.upstreams(), pending, metrics, clock, sink, scheduler);
	}

	@Provides
	@Singleton
	EffectHandler handler(Exchanges exchanges, PeerLinks links, LoadPoller load, HttpLogClient log,
			ControlRecordCodec codec, EventSink sink, Clock clock, RouterProcess.Exit exit) {
		EffectHandler ignored = (effect) -> {
		};
		return new EffectHandler.Compound().on(Effect.Send.class, exchanges)
			.on(Effect.Refuse.class, exchanges)
			.on(Effect.Replay.class, exchanges)
			.on(Effect.Cancel.class, exchanges)
			.on(Effect.ToPeer.class, links)
			.on(Effect.ConnectPeers.class, links)
			.on(Effect.WatchUpstreams.class, load)
			.on(Effect.AppendClaims.class, new ClaimAppender(log, sink, clock))
			.on(Effect.AppendControl.class, new ControlAppender(log, codec))
			.on(Effect.AppendEvidence.class, new EvidenceAppender(log, evidenceExecutor()))
			.on(Effect.Configure.class, this::adopt)
			.on(Effect.Note.class, EventLog.INSTANCE)
			.on(Effect.Readiness.class, ignored)
			.on(Effect.Exit.class, (effect) -> exit.future().complete(null));
	}

	private void adopt(Effect effect) {
		if (effect instanceof Effect.Configure configure) {
			this.configuration.set(configure.configuration());
		}
	}

	@Provides
	@Singleton
	EventLoop eventLoop(Reducer reducer, EffectHandler handler, Clock clock, MetricRegistry metrics) {
		EventLoop made = new EventLoop(reducer, handler, clock, Clock.ForEpoch.INSTANCE,
				this.settings.value(RouterKeys.Loop.TICK), metrics);
		this.loop.set(made);
		return made;
	}

	@Provides
	@Singleton
	OperatorResource operators(EventLoop events, Reducer reducer, MetricRegistry metrics) {
		return new OperatorResource(this.settings.operatorsSecret().value(), () -> events.ask(reducer::status),
				new PrometheusText(metrics));
	}

	@Provides
	@Singleton
	StatusGauges gauges(EventLoop events, Reducer reducer, MetricRegistry metrics) {
		return new StatusGauges(() -> events.ask(reducer::status), metrics);
	}

	@Provides
	@Singleton
	HttpServer httpServer(CallerServlet callers, Supplier<RequestId> ids, OperatorResource operators,
			MetricRegistry metrics) {
		return new HttpServer(this.mapping.http(), callers, new ProblemErrorHandler(ids), operators, metrics);
	}

}
