package org.ebonyford.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.ebonyford.directory.Rendezvous;

/**
 * Remembers which software version of its upstreams began each stream, and decides what
 * has to be saved for other gateways and for later starts. While a single version serves,
 * nothing is saved: a stream whose origin nobody has saved then began at that version.
 */
public final class StreamOrigins {

	/**
	 * The time in milliseconds for which the origin of a stream is remembered, and for
	 * which a version counts after its last upstream has left: longer than streams last.
	 */
	public static final long LIFETIME_MILLIS = 20_000;

	/**
	 * The time in milliseconds since the start, for the observation of versions.
	 */
	private final long startedAt;

	/**
	 * The origins by the hash of the request, the oldest first.
	 */
	private final Map<Long, Known> origins = new LinkedHashMap<>();

	/**
	 * When each version of a service was last in service, in milliseconds, by the hashes
	 * of the service and the version.
	 */
	private final Map<Long, Map<Long, Long>> versions = new HashMap<>();

	/**
	 * Creates a memory without streams.
	 * @param now the current time in milliseconds
	 */
	public StreamOrigins(long now) {
		this.startedAt = now;
	}

	/**
	 * Records that a version is in service.
	 * @param service the name of the service
	 * @param version the version
	 * @param now the current time in milliseconds
	 */
	public void recordVersion(String service, String version, long now) {
		this.versions.computeIfAbsent(Rendezvous.hash(service), (key) -> new HashMap<>())
			.put(Rendezvous.hash(version), now);
	}

	/**
	 * Records that a request for a stream is sent to an upstream. If it is sent to
	 * another one before its first event, the later one counts. A stream whose beginner
	 * is not named cannot be told from others and is left out.
	 * @param service the name of the service
	 * @param request the request that begins the stream
	 * @param version the version of the upstream
	 * @param now the current time in milliseconds
	 */
	public void recordSent(String service, String request, String version, long now) {
		if (request.isEmpty()) {
			return;
		}
		StreamOrigin origin = new StreamOrigin(Rendezvous.hash(service), Rendezvous.hash(request),
				Rendezvous.hash(version));
		Known before = this.origins.remove(origin.request());
		boolean continued = before != null && before.continued();
		this.origins.put(origin.request(), new Known(origin, now, Long.MAX_VALUE, false, continued));
	}

	/**
	 * Records an origin that a gateway has saved. Of several, the one that was saved last
	 * counts.
	 * @param origin the origin
	 * @param savedAt when it was saved, as Unix time in milliseconds
	 * @param now the current time in milliseconds
	 */
	public void recordSaved(StreamOrigin origin, long savedAt, long now) {
		Known before = this.origins.get(origin.request());
		if (before == null || before.savedAt() <= savedAt) {
			this.origins.put(origin.request(),
					new Known(origin, now, savedAt, true, before != null && before.continued()));
		}
		this.versions.computeIfAbsent(origin.service(), (key) -> new HashMap<>())
			.merge(origin.version(), now, Math::max);
	}

	/**
	 * Returns the version that began a stream, as far as this gateway knows.
	 * @param request the request that began the stream
	 * @return the hash of the version
	 */
	public OptionalLong version(String request) {
		Known known = this.origins.get(Rendezvous.hash(request));
		return (known != null) ? OptionalLong.of(known.origin().version()) : OptionalLong.empty();
	}

	/**
	 * Returns whether a request continues a stream that is known to have begun and that
	 * none has continued yet. Answers streams that many callers take up at once after
	 * their gateways or engines failed. Later requests for the same stream count as new
	 * ones, so that a caller cannot get more than its share by naming one stream again.
	 * @param request the request that began the stream
	 * @return {@code true} for the first request that continues a known stream
	 */
	public boolean firstContinuation(String request) {
		Known known = this.origins.get(Rendezvous.hash(request));
		if (known == null || known.continued()) {
			return false;
		}
		this.origins.put(known.origin().request(), known.asContinued());
		return true;
	}

	/**
	 * Returns the only version that has been in service for as long as streams last.
	 * @param service the name of the service
	 * @param now the current time in milliseconds
	 * @return the hash of the version, empty if there may have been another one
	 */
	public OptionalLong onlyVersion(String service, long now) {
		return (now - this.startedAt >= LIFETIME_MILLIS) ? onlyVersionSeen(service, now) : OptionalLong.empty();
	}

	/**
	 * Returns the only version that this gateway has seen or read of. Before its start
	 * there may have been others of which nothing was saved.
	 * @param service the name of the service
	 * @param now the current time in milliseconds
	 * @return the hash of the version, empty if there are several or none
	 */
	public OptionalLong onlyVersionSeen(String service, long now) {
		Set<Long> recent = recentVersions(Rendezvous.hash(service), now);
		return (recent.size() == 1) ? OptionalLong.of(recent.iterator().next()) : OptionalLong.empty();
	}

	/**
	 * Returns whether several versions of a service have been in service of late, so that
	 * origins have to be saved.
	 * @param service the name of the service
	 * @param now the current time in milliseconds
	 * @return {@code true} if a stream may have begun at one of several versions
	 */
	public boolean mixed(String service, long now) {
		return mixed(Rendezvous.hash(service), now);
	}

	private boolean mixed(long service, long now) {
		return recentVersions(service, now).size() > 1;
	}

	private Set<Long> recentVersions(long service, long now) {
		Map<Long, Long> seen = this.versions.getOrDefault(service, Map.of());
		Set<Long> recent = new HashSet<>();
		seen.forEach((version, at) -> {
			if (now - at < LIFETIME_MILLIS) {
				recent.add(version);
			}
		});
		return recent;
	}

	/**
	 * Returns the origins that have not been saved and are to be, as several versions of
	 * their service have been in service lately.
	 * @param now the current time in milliseconds
	 * @return the origins, which count as saved from now on
	 */
	public List<StreamOrigin> takeUnsaved(long now) {
		expire(now);
		Map<Long, Boolean> mixed = new HashMap<>();
		List<StreamOrigin> unsaved = new ArrayList<>();
		this.origins.replaceAll((request, known) -> {
			if (known.saved() || !mixed.computeIfAbsent(known.origin().service(), (service) -> mixed(service, now))) {
				return known;
			}
			unsaved.add(known.origin());
			return known.asSaved(true);
		});
		return unsaved;
	}

	/**
	 * Records that origins could not be saved after all.
	 * @param origins the origins
	 */
	public void recordUnsaved(List<StreamOrigin> origins) {
		origins.forEach(
				(origin) -> this.origins.computeIfPresent(origin.request(), (request, known) -> known.asSaved(false)));
	}

	private void expire(long now) {
		Iterator<Known> oldest = this.origins.values().iterator();
		while (oldest.hasNext() && now - oldest.next().at() >= LIFETIME_MILLIS) {
			oldest.remove();
		}
	}

	/**
	 * An origin that this gateway knows.
	 *
	 * @param origin the origin
	 * @param at when it was recorded, in milliseconds
	 * @param savedAt when another gateway saved it, as Unix time in milliseconds, the
	 * greatest value if it is this gateway's own
	 * @param saved whether it has been saved
	 * @param continued whether a request has continued the stream for which its share was
	 * spent when it began
	 */
	private record Known(StreamOrigin origin, long at, long savedAt, boolean saved, boolean continued) {

		Known asSaved(boolean value) {
			return new Known(this.origin, this.at, this.savedAt, value, this.continued);
		}

		Known asContinued() {
			return new Known(this.origin, this.at, this.savedAt, this.saved, true);
		}

	}

}
