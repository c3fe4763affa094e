package org.ebonyford.router.caller;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Selects the headers that a router passes on between callers and upstreams.
 */
public enum EndToEndHeaders {

	/**
	 * Headers of a request to an engine, which knows no idempotency keys.
	 */
	OF_ENGINE_REQUEST(Names.REQUEST, Set.of("idempotency-key")),

	/**
	 * Headers of a request to a service.
	 */
	OF_SERVICE_REQUEST(Names.REQUEST, Set.of()),

	/**
	 * Headers of an upstream's answer.
	 */
	OF_ANSWER(Names.ANSWER, Set.of());

	/**
	 * The header that lists further headers which end at this hop.
	 */
	private static final String CONNECTION = "connection";

	/**
	 * The names in lower-case letters of headers that are never passed on.
	 */
	private final Set<String> dropped;

	EndToEndHeaders(Set<String> dropped, Set<String> further) {
		Set<String> all = new HashSet<>(Names.HOP_BY_HOP);
		all.addAll(dropped);
		all.addAll(further);
		this.dropped = Set.copyOf(all);
	}

	/**
	 * Returns the headers that are passed on.
	 * @param headers all headers of the message
	 * @return the headers in the order of the message
	 */
	public List<HeaderField> select(List<HeaderField> headers) {
		Set<String> named = named(headers);
		return headers.stream().filter((header) -> passes(header, named)).toList();
	}

	private boolean passes(HeaderField header, Set<String> named) {
		String name = header.name().toLowerCase(Locale.ROOT);
		return !this.dropped.contains(name) && !named.contains(name);
	}

	private static Set<String> named(List<HeaderField> headers) {
		Set<String> named = new HashSet<>();
		for (HeaderField header : headers) {
			if (header.name().equalsIgnoreCase(CONNECTION)) {
				for (String option : header.value().split(",")) {
					named.add(option.strip().toLowerCase(Locale.ROOT));
				}
			}
		}
		return named;
	}

	/**
	 * The names of headers that end at a router.
	 */
	private static final class Names {

		/**
		 * Headers that are about one connection.
		 */
		private static final Set<String> HOP_BY_HOP = Set.of(CONNECTION, "keep-alive", "proxy-authenticate",
				"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
				"content-length", "x-request-id");

		/**
		 * Headers of a request that are meant for the router, and those that would keep
		 * it from reading the answer.
		 */
		private static final Set<String> REQUEST = Set.of("host", "authorization", "expect", "accept-encoding",
				"x-request-timeout-ms", "x-request-class", "x-cost-hint", "x-outcome", "x-not-run");

		/**
		 * Headers of an answer that the router sets itself.
		 */
		private static final Set<String> ANSWER = Set.of("date", "server", "x-outcome", "x-not-run");

		private Names() {
		}

	}

}
