package org.ebonyford.router.process;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;

import org.ebonyford.claim.ClaimSettings;
import org.ebonyford.control.RefreshPolicy;
import org.ebonyford.dispatch.DispatchSettings;
import org.ebonyford.peer.Audience;
import org.ebonyford.peer.PeerTimes;
import org.ebonyford.reducer.ReducerSettings;
import org.ebonyford.router.caller.CallerSettings;
import org.ebonyford.router.log.LogTimeouts;
import org.ebonyford.router.peer.PeerSettings;
import org.ebonyford.router.settings.Listener;
import org.ebonyford.router.settings.RouterKeys;
import org.ebonyford.router.settings.RouterSettings;
import org.ebonyford.router.settings.Setting;
import org.ebonyford.router.tls.PemKeyStore;
import org.ebonyford.router.upstream.UpstreamSettings;
import org.ebonyford.slot.SlotOwners;
import org.ebonyford.suspect.SuspectSettings;
import org.ebonyford.warmup.WarmUpPolicy;

/**
 * Derives the bounds of each part from the settings of a router.
 */
final class SettingsMapping {

	/**
	 * The peers that one heartbeat goes to at most.
	 */
	private static final int HEARTBEAT_AUDIENCE = 16;

	/**
	 * The heartbeats that a peer may miss before it counts as lost.
	 */
	private static final int MISSED_HEARTBEATS = 6;

	/**
	 * The routers of a data centre that own the slots of one pool at most.
	 */
	private static final int OWNERS_OF_A_POOL = 8;

	/**
	 * The share of the log's retention after which records are appended anew.
	 */
	private static final int RENEWAL_SHARE = 2;

	/**
	 * The settings.
	 */
	private final RouterSettings settings;

	/**
	 * Creates a mapping.
	 * @param settings the settings
	 */
	SettingsMapping(RouterSettings settings) {
		this.settings = settings;
	}

	/**
	 * Returns the bounds of all decisions.
	 * @return the bounds
	 */
	ReducerSettings reducer() {
		long heartbeat = value(RouterKeys.Dispatch.GOSSIP);
		return new ReducerSettings(dispatch(), claims(), suspects(), refresh(),
				new PeerTimes(heartbeat, MISSED_HEARTBEATS * heartbeat), new Audience.OfRotation(HEARTBEAT_AUDIENCE),
				value(RouterKeys.Evidence.BATCHING), value(RouterKeys.Loop.PAUSE), value(RouterKeys.Stop.NOTICE));
	}

	private DispatchSettings dispatch() {
		DispatchSettings.Times times = new DispatchSettings.Times(value(RouterKeys.Dispatch.GRANT_VALIDITY),
				value(RouterKeys.Dispatch.HANDOVER), value(RouterKeys.Dispatch.START_UP),
				value(RouterKeys.Dispatch.CONFIRMATION), value(RouterKeys.Dispatch.SILENCE),
				value(RouterKeys.Dispatch.ORPHAN), value(RouterKeys.Dispatch.ABANDONED),
				value(RouterKeys.Dispatch.STALE), value(RouterKeys.Dispatch.LOST), value(RouterKeys.Dispatch.GOSSIP),
				value(RouterKeys.Dispatch.IDLE), value(RouterKeys.Dispatch.DEMAND),
				value(RouterKeys.Dispatch.CORRECTION), value(RouterKeys.Dispatch.REFRESH),
				value(RouterKeys.Dispatch.ESCALATION));
		DispatchSettings.Retries retries = new DispatchSettings.Retries(value(RouterKeys.Dispatch.MAX_BROKEN),
				value(RouterKeys.Dispatch.FIRST_BACKOFF), value(RouterKeys.Dispatch.MAX_BACKOFF),
				value(RouterKeys.Dispatch.RETRY_AFTER));
		DispatchSettings defaults = DispatchSettings.defaults();
		return new DispatchSettings(times, retries, value(RouterKeys.Dispatch.DEBT_ROUNDS),
				new WarmUpPolicy.ForCompletions(value(RouterKeys.Dispatch.WARM_UP_STEP)),
				new SlotOwners.ForFewOwners(OWNERS_OF_A_POOL), defaults.ownerSelection());
	}

	private ClaimSettings claims() {
		return new ClaimSettings(value(RouterKeys.Claims.WINDOW), value(RouterKeys.Claims.CLOCK_SKEW),
				value(RouterKeys.Platform.LOG_RETENTION), value(RouterKeys.Claims.RESTATE_SPREAD),
				value(RouterKeys.Claims.SETTLE), value(RouterKeys.Claims.BATCHING),
				value(RouterKeys.Claims.BATCH_RECORDS), value(RouterKeys.Claims.BATCH_CHARACTERS),
				value(RouterKeys.Claims.PATIENCE), value(RouterKeys.Claims.RETRY), value(RouterKeys.Claims.HAND_OVER),
				value(RouterKeys.Claims.QUERY), value(RouterKeys.Claims.JOIN), value(RouterKeys.Claims.RETRY_AFTER),
				value(RouterKeys.Claims.MAX_KEYS), value(RouterKeys.Claims.MAX_KEYS_EACH),
				value(RouterKeys.Claims.MAX_WAITING), value(RouterKeys.Claims.MAX_ANSWERS));
	}

	private SuspectSettings suspects() {
		return SuspectSettings.DEFAULT.withBlameThreshold(value(RouterKeys.Suspects.COUNT))
			.withSuspicionMillis(value(RouterKeys.Suspects.TIME));
	}

	private RefreshPolicy refresh() {
		return new RefreshPolicy(value(RouterKeys.Platform.LOG_RETENTION) / RENEWAL_SHARE,
				value(RouterKeys.Control.REFRESH_SPREAD), value(RouterKeys.Control.REFRESH_RETRY));
	}

	/**
	 * Returns the bounds on callers.
	 * @return the bounds
	 */
	CallerSettings callers() {
		return new CallerSettings(bytes(RouterKeys.Callers.MAX_BODY), value(RouterKeys.Callers.MAX_HELD_BODIES),
				bytes(RouterKeys.Callers.MAX_HEADERS), value(RouterKeys.Callers.MAX_HEADER_COUNT),
				value(RouterKeys.Callers.DEFAULT_TIMEOUT), value(RouterKeys.Callers.MAX_TIMEOUT),
				value(RouterKeys.Callers.MAX_HELD), value(RouterKeys.Callers.SLOW_READER),
				bytes(RouterKeys.Callers.STREAM_BUFFER), value(RouterKeys.Callers.SWEEP));
	}

	/**
	 * Returns the bounds on exchanges with upstreams.
	 * @return the bounds
	 */
	UpstreamSettings upstreams() {
		return new UpstreamSettings(value(RouterKeys.Upstreams.MAX_CONNECTIONS),
				value(RouterKeys.Upstreams.MAX_CONNECTIONS_EACH), millis(RouterKeys.Upstreams.POOL_WAIT),
				millis(RouterKeys.Upstreams.CONNECT_TIMEOUT), millis(RouterKeys.Upstreams.SILENCE),
				millis(RouterKeys.Upstreams.KEEP_ALIVE), value(RouterKeys.Upstreams.IO_THREADS),
				value(RouterKeys.Upstreams.MAX_RESUMES), millis(RouterKeys.Upstreams.RESUME_DELAY));
	}

	/**
	 * Returns how to wait for the log service.
	 * @return the timeouts
	 */
	LogTimeouts log() {
		long call = value(RouterKeys.Platform.CALL_TIMEOUT);
		return new LogTimeouts(value(RouterKeys.Platform.CONNECT_TIMEOUT), call, call);
	}

	/**
	 * Returns how routers reach each other.
	 * @return the settings
	 */
	PeerSettings peers() {
		Listener listener = this.settings.peers();
		return new PeerSettings(listener.host(), listener.port(), this.settings.peersSecret().value(),
				listener.tls().map(SettingsMapping::identity), value(RouterKeys.Peers.KEEP_ALIVE),
				value(RouterKeys.Peers.MAX_UNSENT));
	}

	private static PeerSettings.TlsIdentity identity(Listener.Tls tls) {
		Path authorities = tls.authorities().orElse(tls.certificate());
		return new PeerSettings.TlsIdentity(tls.certificate().toFile(), tls.key().toFile(), authorities.toFile());
	}

	/**
	 * Returns where callers and operators reach the router.
	 * @return the addresses
	 */
	HttpServer.Settings http() {
		return new HttpServer.Settings(endpoint(this.settings.callers()), endpoint(this.settings.operators()),
				2 * bytes(RouterKeys.Callers.MAX_HEADERS));
	}

	private static HttpServer.Endpoint endpoint(Listener listener) {
		return new HttpServer.Endpoint(listener.host(), listener.port(), listener.tls().map(SettingsMapping::keyStore));
	}

	private static KeyStore keyStore(Listener.Tls tls) {
		try {
			return PemKeyStore.ofIdentity(tls.certificate(), tls.key());
		}
		catch (IOException | GeneralSecurityException ex) {
			throw new IllegalArgumentException(
					"The certificate " + tls.certificate() + " with the key " + tls.key() + " cannot be used: " + ex,
					ex);
		}
	}

	private <T> T value(Setting<T> setting) {
		return this.settings.value(setting);
	}

	private int bytes(Setting<Long> setting) {
		return Math.toIntExact(value(setting));
	}

	private int millis(Setting<Long> setting) {
		return Math.toIntExact(value(setting));
	}

}
