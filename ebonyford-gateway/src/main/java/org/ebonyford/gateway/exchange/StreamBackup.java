package org.ebonyford.gateway.exchange;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

import org.ebonyford.catalog.EngineProfile;
import org.ebonyford.catalog.RouteKind;
import org.ebonyford.catalog.ServiceDefinition;
import org.ebonyford.directory.Rendezvous;
import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.gateway.exchange.EventSplitter.StreamEvent;
import org.ebonyford.gateway.wire.HeaderNames;
import org.ebonyford.placement.Choice;
import org.ebonyford.placement.Load;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.placement.Work;
import org.ebonyford.stream.BackupPolicy;
import org.ebonyford.stream.BackupPolicy.Backup;

/**
 * The copy of a stream's run at a second engine: where it is, and whether the run goes on
 * there. A run goes on there once at most, after the connection to its first engine has
 * ended. Nothing is copied unless the settings and the service's configuration say so.
 */
final class StreamBackup {

	/**
	 * The gateway process that serves the request.
	 */
	private final ExchangeContext context;

	/**
	 * The copy of the current run, empty if there is none.
	 */
	private Optional<Backup> backup = Optional.empty();

	/**
	 * The service of the copy, {@code null} if there has been none.
	 */
	private ServiceState service;

	/**
	 * Whether the first engine was lost, so that the run can go on at the second only.
	 */
	private boolean engineLost;

	/**
	 * Whether the request is sent to the engine with the copy.
	 */
	private boolean continuing;

	/**
	 * Whether the caller was sent an event without an identifier, after which no engine
	 * can be told where to go on.
	 */
	private boolean unnumberedSent;

	StreamBackup(ExchangeContext context) {
		this.context = context;
	}

	/**
	 * Chooses the engine to which a run is copied that is about to begin.
	 * @param begun the service of the run
	 * @param kind the kind of its route
	 * @param work its work
	 * @param id the identifier of the request
	 * @param choice the engine of the run
	 * @param candidates the engines of the service that take requests
	 */
	void choose(ServiceState begun, RouteKind kind, Work work, String id, Choice choice, List<Upstream> candidates) {
		release(true);
		this.engineLost = false;
		this.continuing = false;
		if (!enabled(begun) || !kind.stream()) {
			return;
		}
		this.service = begun;
		double expectedMillis = Math.max(begun.pace().totalMillis(), choice.firstByteMillis());
		this.backup = begun.backups()
			.choose(new BackupPolicy.Run(kind, work, Rendezvous.hash(id), choice.upstream(), expectedMillis),
					ServiceState.states(candidates), this.context.gatewayCount(), now());
	}

	private boolean enabled(ServiceState begun) {
		return this.context.streamBackups()
				&& begun.definition().flatMap(ServiceDefinition::engine).map(EngineProfile::backups).orElse(false);
	}

	/**
	 * Returns the engine that keeps the copy.
	 * @return its identifier, empty if nothing is copied
	 */
	Optional<String> engine() {
		return this.backup.map((copy) -> copy.engine().entry().id());
	}

	/**
	 * Records the end of a run, from which the policy learns how often engines are lost.
	 * @param ended the service of the run
	 * @param millis the time of the run in milliseconds
	 * @param lost whether its engine closed the connection before the end
	 */
	void recordRun(ServiceState ended, long millis, boolean lost) {
		if (enabled(ended)) {
			ended.backups().recordRun(millis, lost, now());
		}
	}

	/**
	 * Records an event that the caller was sent.
	 * @param event the event
	 */
	void recordSent(StreamEvent event) {
		this.unnumberedSent = this.unnumberedSent || (event.id().isEmpty() && !event.commentOnly());
	}

	/**
	 * Records that the engine of the run was lost.
	 * @return whether the run may go on at the engine with the copy
	 */
	boolean loseEngine() {
		boolean first = this.backup.isPresent() && !this.engineLost;
		this.engineLost = this.backup.isPresent();
		return first && !this.unnumberedSent;
	}

	/**
	 * Returns the upstream with the copy.
	 * @param usable the upstreams to which the request may be sent
	 * @return the upstream, empty if it is not the same start any more or takes nothing
	 */
	Optional<Upstream> find(List<Upstream> usable) {
		return usable.stream()
			.filter((upstream) -> this.backup.filter((copy) -> copy.engine() == upstream.state()).isPresent())
			.findFirst();
	}

	/**
	 * Records that the request is about to be sent to the engine with the copy, and
	 * estimates what remains to be done there. While no event has arrived, a part of the
	 * prompt may be missing.
	 * @param work the work of the request
	 * @param streamStarted whether the caller was sent the beginning of the stream
	 * @return the choice of the engine
	 */
	Choice beginContinuation(Work work, boolean streamStarted) {
		this.continuing = true;
		UpstreamState state = this.backup.orElseThrow().engine();
		Load load = state.totalLoad(now());
		int prefillTokens = streamStarted ? 0 : work.promptTokens();
		double slowness = state.slowness(now());
		double queueMillis = this.service.pace().prefillMillis(load.prefillTokens()) * slowness;
		return new Choice(state, queueMillis + this.service.pace().firstByteMillis(prefillTokens) * slowness,
				queueMillis, this.service.pace().prefillMillis(prefillTokens) * slowness, prefillTokens,
				load.prefillTokens(), load.running(), false);
	}

	/**
	 * Returns whether the request is sent to the engine with the copy.
	 * @return {@code true} until another attempt begins
	 */
	boolean continuing() {
		return this.continuing;
	}

	/**
	 * Sets the headers that name the copy.
	 * @param headers the headers to change
	 * @param names the names of the headers
	 * @param id the identifier of the request
	 */
	void setHeaders(HttpHeaders headers, HeaderNames names, String id) {
		this.backup.map((copy) -> copy.engine().entry()).ifPresent((entry) -> {
			if (this.continuing) {
				headers.set(names.copiedRun(), address(entry) + "/" + id);
			}
			else {
				headers.set(names.backupTarget(), address(entry));
			}
		});
	}

	private static String address(UpstreamEntry entry) {
		return entry.host() + ":" + entry.port();
	}

	/**
	 * Ends the copy, and counts what it was good for.
	 * @param serviceName the name of the service
	 * @param success whether the stream ended as its upstream ended it
	 * @param callerLeft whether the caller left before
	 * @return whether the stream was lost although it had a copy
	 */
	boolean finish(String serviceName, boolean success, boolean callerLeft) {
		boolean lost = this.engineLost && !success && !callerLeft;
		if (lost || (this.engineLost && success)) {
			this.context.metrics()
				.count(lost ? "ebonyford_streams_lost_with_backup" : "ebonyford_streams_continued",
						"service=\"" + serviceName + "\"");
		}
		release(success);
		return lost;
	}

	private void release(boolean success) {
		this.backup.ifPresent((copy) -> this.service.backups().release(copy, success, now()));
		this.backup = Optional.empty();
	}

	private long now() {
		return this.context.clock().millis();
	}

}
