package org.ebonyford.router.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.ebonyford.ini.ValueFormat;

/**
 * All settings of a router, by section.
 */
public final class RouterKeys {

	private RouterKeys() {
	}

	/**
	 * Returns all settings.
	 * @return the settings in the order of the documentation
	 */
	public static List<Setting<?>> all() {
		return Stream
			.of(Router.ALL, Callers.ALL, Operators.ALL, Peers.ALL, Platform.ALL, Upstreams.ALL, Dispatch.ALL,
					Claims.ALL, Suspects.ALL, Control.ALL, Evidence.ALL, Loop.ALL, Stop.ALL)
			.flatMap(List::stream)
			.toList();
	}

	/**
	 * The name and place of the router.
	 */
	public static final class Router {

		/**
		 * The name of the VM on the platform's list.
		 */
		public static final Setting<String> VM = Setting.required("router", "vm", ValueFormat.ForPattern.NAME,
				"The name of the VM on the platform's list.");

		/**
		 * The data centre that the VM stands in.
		 */
		public static final Setting<String> DATA_CENTRE = Setting.required("router", "data-centre",
				ValueFormat.ForPattern.NAME, "The data centre that the VM stands in.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(VM, DATA_CENTRE);

		private Router() {
		}

	}

	/**
	 * The interface for callers and the bounds on what they may ask.
	 */
	public static final class Callers {

		/**
		 * The host name or IP number to listen on.
		 */
		public static final Setting<String> HOST = Setting.standard("callers", "host", SettingFormats.HOST, "0.0.0.0",
				"The host name or IP number to listen on.");

		/**
		 * The port to listen on; 0 lets the system choose one.
		 */
		public static final Setting<Integer> PORT = Setting.standard("callers", "port", SettingFormats.PORT, "8080",
				"The port to listen on; 0 lets the system choose one.");

		/**
		 * The certificate chain in PEM form; without it the interface speaks no TLS.
		 */
		public static final Setting<Path> TLS_CERTIFICATE = Setting.optional("callers", "tls-certificate",
				SettingFormats.FILE, "The certificate chain in PEM form; without it the interface speaks no TLS.");

		/**
		 * The private key in PEM form.
		 */
		public static final Setting<Path> TLS_KEY = Setting.optional("callers", "tls-key", SettingFormats.FILE,
				"The private key in PEM form.");

		/**
		 * The size that the body of one request may have.
		 */
		public static final Setting<Long> MAX_BODY = Setting.standard("callers", "max-body", SettingFormats.SIZE,
				"4 MiB", "The size that the body of one request may have.");

		/**
		 * The size that the bodies of all held requests may have together.
		 */
		public static final Setting<Long> MAX_HELD_BODIES = Setting.standard("callers", "max-held-bodies",
				SettingFormats.SIZE, "64 MiB", "The size that the bodies of all held requests may have together.");

		/**
		 * The size that the headers of a request may have together.
		 */
		public static final Setting<Long> MAX_HEADERS = Setting.standard("callers", "max-headers", SettingFormats.SIZE,
				"16 KiB", "The size that the headers of a request may have together.");

		/**
		 * The number of headers that a request may have.
		 */
		public static final Setting<Integer> MAX_HEADER_COUNT = Setting.standard("callers", "max-header-count",
				SettingFormats.COUNT, "64", "The number of headers that a request may have.");

		/**
		 * The number of requests that the router holds at a time, queued and running.
		 */
		public static final Setting<Integer> MAX_HELD = Setting.standard("callers", "max-held", SettingFormats.COUNT,
				"4096", "The number of requests that the router holds at a time, queued and running.");

		/**
		 * How long a caller waits for the start of an answer who does not say how long.
		 */
		public static final Setting<Long> DEFAULT_TIMEOUT = Setting.standard("callers", "default-timeout",
				SettingFormats.TIME, "30 s",
				"How long a caller waits for the start of an answer who does not say how long.");

		/**
		 * How long a caller may wait for the start of an answer at most.
		 */
		public static final Setting<Long> MAX_TIMEOUT = Setting.standard("callers", "max-timeout", SettingFormats.TIME,
				"5 min", "How long a caller may wait for the start of an answer at most.");

		/**
		 * How long a caller may read nothing while bytes wait for it.
		 */
		public static final Setting<Long> SLOW_READER = Setting.standard("callers", "slow-reader", SettingFormats.TIME,
				"15 s", "How long a caller may read nothing while bytes wait for it.");

		/**
		 * The size of an answer that waits for a slow caller before its upstream is
		 * slowed down.
		 */
		public static final Setting<Long> STREAM_BUFFER = Setting.standard("callers", "stream-buffer",
				SettingFormats.SIZE, "64 KiB",
				"The size of an answer that waits for a slow caller before its upstream is slowed down.");

		/**
		 * The period in which callers that left or read too slowly are looked for.
		 */
		public static final Setting<Long> SWEEP = Setting.standard("callers", "sweep", SettingFormats.TIME, "100 ms",
				"The period in which callers that left or read too slowly are looked for.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(HOST, PORT, TLS_CERTIFICATE, TLS_KEY, MAX_BODY,
				MAX_HELD_BODIES, MAX_HEADERS, MAX_HEADER_COUNT, MAX_HELD, DEFAULT_TIMEOUT, MAX_TIMEOUT, SLOW_READER,
				STREAM_BUFFER, SWEEP);

		private Callers() {
		}

	}

	/**
	 * The interface for operators and the platform's balancer.
	 */
	public static final class Operators {

		/**
		 * The host name or IP number to listen on.
		 */
		public static final Setting<String> HOST = Setting.standard("operators", "host", SettingFormats.HOST, "0.0.0.0",
				"The host name or IP number to listen on.");

		/**
		 * The port to listen on; 0 lets the system choose one.
		 */
		public static final Setting<Integer> PORT = Setting.standard("operators", "port", SettingFormats.PORT, "8081",
				"The port to listen on; 0 lets the system choose one.");

		/**
		 * The secret that operators show.
		 */
		public static final Setting<Secret> SECRET = Setting.optional("operators", "secret", SettingFormats.SECRET,
				"The secret that operators show.");

		/**
		 * The environment variable that holds the secret, in place of secret.
		 */
		public static final Setting<String> SECRET_VARIABLE = Setting.optional("operators", "secret-variable",
				SettingFormats.VARIABLE, "The environment variable that holds the secret, in place of secret.");

		/**
		 * The certificate chain in PEM form; without it the interface speaks no TLS.
		 */
		public static final Setting<Path> TLS_CERTIFICATE = Setting.optional("operators", "tls-certificate",
				SettingFormats.FILE, "The certificate chain in PEM form; without it the interface speaks no TLS.");

		/**
		 * The private key in PEM form.
		 */
		public static final Setting<Path> TLS_KEY = Setting.optional("operators", "tls-key", SettingFormats.FILE,
				"The private key in PEM form.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(HOST, PORT, SECRET, SECRET_VARIABLE, TLS_CERTIFICATE,
				TLS_KEY);

		private Operators() {
		}

	}

	/**
	 * The interface between routers.
	 */
	public static final class Peers {

		/**
		 * The host name or IP number to listen on.
		 */
		public static final Setting<String> HOST = Setting.standard("peers", "host", SettingFormats.HOST, "0.0.0.0",
				"The host name or IP number to listen on.");

		/**
		 * The port to listen on; 0 lets the system choose one.
		 */
		public static final Setting<Integer> PORT = Setting.standard("peers", "port", SettingFormats.PORT, "8082",
				"The port to listen on; 0 lets the system choose one.");

		/**
		 * The secret that all routers of the fleet share.
		 */
		public static final Setting<Secret> SECRET = Setting.optional("peers", "secret", SettingFormats.SECRET,
				"The secret that all routers of the fleet share.");

		/**
		 * The environment variable that holds the secret, in place of secret.
		 */
		public static final Setting<String> SECRET_VARIABLE = Setting.optional("peers", "secret-variable",
				SettingFormats.VARIABLE, "The environment variable that holds the secret, in place of secret.");

		/**
		 * The certificate chain in PEM form; without it the interface speaks no TLS.
		 */
		public static final Setting<Path> TLS_CERTIFICATE = Setting.optional("peers", "tls-certificate",
				SettingFormats.FILE, "The certificate chain in PEM form; without it the interface speaks no TLS.");

		/**
		 * The private key in PEM form.
		 */
		public static final Setting<Path> TLS_KEY = Setting.optional("peers", "tls-key", SettingFormats.FILE,
				"The private key in PEM form.");

		/**
		 * The certificates in PEM form of the authorities that peers are trusted by.
		 */
		public static final Setting<Path> TLS_AUTHORITIES = Setting.optional("peers", "tls-authorities",
				SettingFormats.FILE, "The certificates in PEM form of the authorities that peers are trusted by.");

		/**
		 * How long a link may be silent before it is probed.
		 */
		public static final Setting<Long> KEEP_ALIVE = Setting.standard("peers", "keep-alive", SettingFormats.TIME,
				"1 s", "How long a link may be silent before it is probed.");

		/**
		 * The number of messages that may wait on a link before it is opened anew.
		 */
		public static final Setting<Integer> MAX_UNSENT = Setting.standard("peers", "max-unsent", SettingFormats.COUNT,
				"10000", "The number of messages that may wait on a link before it is opened anew.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(HOST, PORT, SECRET, SECRET_VARIABLE, TLS_CERTIFICATE,
				TLS_KEY, TLS_AUTHORITIES, KEEP_ALIVE, MAX_UNSENT);

		private Peers() {
		}

	}

	/**
	 * The platform's services and how they are asked.
	 */
	public static final class Platform {

		/**
		 * The address of the log service.
		 */
		public static final Setting<URI> LOG = Setting.required("platform", "log", SettingFormats.URL,
				"The address of the log service.");

		/**
		 * The address of the list of VMs.
		 */
		public static final Setting<URI> LIST = Setting.required("platform", "list", SettingFormats.URL,
				"The address of the list of VMs.");

		/**
		 * How long the log service keeps a record; records are renewed at half of it.
		 */
		public static final Setting<Long> LOG_RETENTION = Setting.standard("platform", "log-retention",
				SettingFormats.TIME, "1 h",
				"How long the log service keeps a record; records are renewed at half of it.");

		/**
		 * How long a connection to the platform may take.
		 */
		public static final Setting<Long> CONNECT_TIMEOUT = Setting.standard("platform", "connect-timeout",
				SettingFormats.TIME, "1 s", "How long a connection to the platform may take.");

		/**
		 * How long a call of the platform may take.
		 */
		public static final Setting<Long> CALL_TIMEOUT = Setting.standard("platform", "call-timeout",
				SettingFormats.TIME, "2 s", "How long a call of the platform may take.");

		/**
		 * The period in which the list of VMs is read.
		 */
		public static final Setting<Long> LIST_POLL = Setting.standard("platform", "list-poll", SettingFormats.TIME,
				"500 ms", "The period in which the list of VMs is read.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(LOG, LIST, LOG_RETENTION, CONNECT_TIMEOUT, CALL_TIMEOUT,
				LIST_POLL);

		private Platform() {
		}

	}

	/**
	 * The connections to upstreams.
	 */
	public static final class Upstreams {

		/**
		 * The period in which upstreams are asked for their load.
		 */
		public static final Setting<Long> LOAD_POLL = Setting.standard("upstreams", "load-poll", SettingFormats.TIME,
				"200 ms", "The period in which upstreams are asked for their load.");

		/**
		 * How long a load report may take.
		 */
		public static final Setting<Long> LOAD_TIMEOUT = Setting.standard("upstreams", "load-timeout",
				SettingFormats.TIME, "1 s", "How long a load report may take.");

		/**
		 * How long a connection to an upstream may take.
		 */
		public static final Setting<Long> CONNECT_TIMEOUT = Setting.standard("upstreams", "connect-timeout",
				SettingFormats.TIME, "1 s", "How long a connection to an upstream may take.");

		/**
		 * How long the connection of an exchange may carry nothing before it counts as
		 * broken.
		 */
		public static final Setting<Long> SILENCE = Setting.standard("upstreams", "silence", SettingFormats.TIME,
				"2 min", "How long the connection of an exchange may carry nothing before it counts as broken.");

		/**
		 * How long an idle connection is kept.
		 */
		public static final Setting<Long> KEEP_ALIVE = Setting.standard("upstreams", "keep-alive", SettingFormats.TIME,
				"20 s", "How long an idle connection is kept.");

		/**
		 * How long a request waits for a free connection.
		 */
		public static final Setting<Long> POOL_WAIT = Setting.standard("upstreams", "pool-wait", SettingFormats.TIME,
				"1 s", "How long a request waits for a free connection.");

		/**
		 * The number of connections to all upstreams together.
		 */
		public static final Setting<Integer> MAX_CONNECTIONS = Setting.standard("upstreams", "max-connections",
				SettingFormats.COUNT, "4096", "The number of connections to all upstreams together.");

		/**
		 * The number of connections to one upstream.
		 */
		public static final Setting<Integer> MAX_CONNECTIONS_EACH = Setting.standard("upstreams",
				"max-connections-each", SettingFormats.COUNT, "1024", "The number of connections to one upstream.");

		/**
		 * The number of threads that serve all connections to upstreams.
		 */
		public static final Setting<Integer> IO_THREADS = Setting.standard("upstreams", "io-threads",
				SettingFormats.COUNT, "2", "The number of threads that serve all connections to upstreams.");

		/**
		 * How often one stream is resumed.
		 */
		public static final Setting<Integer> MAX_RESUMES = Setting.standard("upstreams", "max-resumes",
				SettingFormats.NATURAL, "3", "How often one stream is resumed.");

		/**
		 * How long a router waits before it resumes a stream.
		 */
		public static final Setting<Long> RESUME_DELAY = Setting.standard("upstreams", "resume-delay",
				SettingFormats.TIME, "100 ms", "How long a router waits before it resumes a stream.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(LOAD_POLL, LOAD_TIMEOUT, CONNECT_TIMEOUT, SILENCE,
				KEEP_ALIVE, POOL_WAIT, MAX_CONNECTIONS, MAX_CONNECTIONS_EACH, IO_THREADS, MAX_RESUMES, RESUME_DELAY);

		private Upstreams() {
		}

	}

	/**
	 * The bounds that the owners of slots and the routers that hold requests keep.
	 */
	public static final class Dispatch {

		/**
		 * How long after the demand that it answers a grant may be used.
		 */
		public static final Setting<Long> GRANT_VALIDITY = Setting.standard("dispatch", "grant-validity",
				SettingFormats.TIME, "1 s", "How long after the demand that it answers a grant may be used.");

		/**
		 * How long a slot stays unused that moves between live routers; at least
		 * grant-validity, the lag of the list and list-poll together.
		 */
		public static final Setting<Long> HANDOVER = Setting.standard("dispatch", "handover", SettingFormats.TIME,
				"8 s",
				"How long a slot stays unused that moves between live routers; at least grant-validity, the lag of the list and list-poll together.");

		/**
		 * How long a router that starts leaves its slots unused.
		 */
		public static final Setting<Long> START_UP = Setting.standard("dispatch", "start-up", SettingFormats.TIME,
				"2200 ms", "How long a router that starts leaves its slots unused.");

		/**
		 * The period in which running requests are confirmed to the owners of their
		 * slots.
		 */
		public static final Setting<Long> CONFIRMATION = Setting.standard("dispatch", "confirmation",
				SettingFormats.TIME, "1 s",
				"The period in which running requests are confirmed to the owners of their slots.");

		/**
		 * How long a running request may go unconfirmed.
		 */
		public static final Setting<Long> SILENCE = Setting.standard("dispatch", "silence", SettingFormats.TIME,
				"3500 ms", "How long a running request may go unconfirmed.");

		/**
		 * How long a request may run on after its routers are lost.
		 */
		public static final Setting<Long> ORPHAN = Setting.standard("dispatch", "orphan", SettingFormats.TIME, "30 s",
				"How long a request may run on after its routers are lost.");

		/**
		 * How long a request may run on after its exchange broke or was cancelled.
		 */
		public static final Setting<Long> ABANDONED = Setting.standard("dispatch", "abandoned", SettingFormats.TIME,
				"1 s", "How long a request may run on after its exchange broke or was cancelled.");

		/**
		 * The age of a load report beyond which an upstream counts as cold.
		 */
		public static final Setting<Long> STALE = Setting.standard("dispatch", "stale", SettingFormats.TIME, "600 ms",
				"The age of a load report beyond which an upstream counts as cold.");

		/**
		 * The age of a load report beyond which an upstream gets no work.
		 */
		public static final Setting<Long> LOST = Setting.standard("dispatch", "lost", SettingFormats.TIME, "5 s",
				"The age of a load report beyond which an upstream gets no work.");

		/**
		 * The period in which changed totals of service are sent.
		 */
		public static final Setting<Long> GOSSIP = Setting.standard("dispatch", "gossip", SettingFormats.TIME, "250 ms",
				"The period in which changed totals of service are sent.");

		/**
		 * How long an organisation without backlog keeps its place.
		 */
		public static final Setting<Long> IDLE = Setting.standard("dispatch", "idle", SettingFormats.TIME, "1 s",
				"How long an organisation without backlog keeps its place.");

		/**
		 * The shortest time between two demands to one owner.
		 */
		public static final Setting<Long> DEMAND = Setting.standard("dispatch", "demand", SettingFormats.TIME, "5 ms",
				"The shortest time between two demands to one owner.");

		/**
		 * The shortest time between two demands to one owner that has requests to grant
		 * to already.
		 */
		public static final Setting<Long> CORRECTION = Setting.standard("dispatch", "correction", SettingFormats.TIME,
				"100 ms", "The shortest time between two demands to one owner that has requests to grant to already.");

		/**
		 * The longest time between two demands to one owner while requests wait.
		 */
		public static final Setting<Long> REFRESH = Setting.standard("dispatch", "refresh", SettingFormats.TIME,
				"250 ms", "The longest time between two demands to one owner while requests wait.");

		/**
		 * How long a request waits for the nearest owner before all learn of it.
		 */
		public static final Setting<Long> ESCALATION = Setting.standard("dispatch", "escalation", SettingFormats.TIME,
				"5 ms", "How long a request waits for the nearest owner before all learn of it.");

		/**
		 * The debt that a waiting organisation may carry on, as the number of times that
		 * it fills all slots of the pool.
		 */
		public static final Setting<Integer> DEBT_ROUNDS = Setting.standard("dispatch", "debt-rounds",
				SettingFormats.COUNT, "16",
				"The debt that a waiting organisation may carry on, as the number of times that it fills all slots of the pool.");

		/**
		 * The number of completions that raise the limit of an upstream by one.
		 */
		public static final Setting<Integer> WARM_UP_STEP = Setting.standard("dispatch", "warm-up-step",
				SettingFormats.COUNT, "4", "The number of completions that raise the limit of an upstream by one.");

		/**
		 * How often a request that may be repeated is sent again after its connection
		 * broke.
		 */
		public static final Setting<Integer> MAX_BROKEN = Setting.standard("dispatch", "max-broken",
				SettingFormats.NATURAL, "2",
				"How often a request that may be repeated is sent again after its connection broke.");

		/**
		 * How long an upstream gets no work after a first failed exchange.
		 */
		public static final Setting<Long> FIRST_BACKOFF = Setting.standard("dispatch", "first-backoff",
				SettingFormats.TIME, "20 ms", "How long an upstream gets no work after a first failed exchange.");

		/**
		 * How long an upstream gets no work after failed exchanges at most.
		 */
		public static final Setting<Long> MAX_BACKOFF = Setting.standard("dispatch", "max-backoff", SettingFormats.TIME,
				"1 s", "How long an upstream gets no work after failed exchanges at most.");

		/**
		 * The time after which a refused caller is told to come again.
		 */
		public static final Setting<Long> RETRY_AFTER = Setting.standard("dispatch", "retry-after", SettingFormats.TIME,
				"1 s", "The time after which a refused caller is told to come again.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(GRANT_VALIDITY, HANDOVER, START_UP, CONFIRMATION, SILENCE,
				ORPHAN, ABANDONED, STALE, LOST, GOSSIP, IDLE, DEMAND, CORRECTION, REFRESH, ESCALATION, DEBT_ROUNDS,
				WARM_UP_STEP, MAX_BROKEN, FIRST_BACKOFF, MAX_BACKOFF, RETRY_AFTER);

		private Dispatch() {
		}

	}

	/**
	 * At-most-once execution.
	 */
	public static final class Claims {

		/**
		 * How long an idempotency key is remembered after its claim.
		 */
		public static final Setting<Long> WINDOW = Setting.standard("claims", "window", SettingFormats.TIME, "24 h",
				"How long an idempotency key is remembered after its claim.");

		/**
		 * By how much the wall clocks of VMs differ and an append takes effect late,
		 * together at most.
		 */
		public static final Setting<Long> CLOCK_SKEW = Setting.standard("claims", "clock-skew", SettingFormats.TIME,
				"1 min",
				"By how much the wall clocks of VMs differ and an append takes effect late, together at most.");

		/**
		 * The time over which routers spread the restating of statements that the log is
		 * about to remove.
		 */
		public static final Setting<Long> RESTATE_SPREAD = Setting.standard("claims", "restate-spread",
				SettingFormats.TIME, "1 min",
				"The time over which routers spread the restating of statements that the log is about to remove.");

		/**
		 * How long a router that starts with a shortened log reads on before its
		 * knowledge counts as complete.
		 */
		public static final Setting<Long> SETTLE = Setting.standard("claims", "settle", SettingFormats.TIME, "5 s",
				"How long a router that starts with a shortened log reads on before its knowledge counts as complete.");

		/**
		 * The time between two appends at least.
		 */
		public static final Setting<Long> BATCHING = Setting.standard("claims", "batching", SettingFormats.TIME,
				"50 ms", "The time between two appends at least.");

		/**
		 * The number of statements in one append at most.
		 */
		public static final Setting<Integer> BATCH_RECORDS = Setting.standard("claims", "batch-records",
				SettingFormats.COUNT, "500", "The number of statements in one append at most.");

		/**
		 * The characters of kept answers in one append beyond which no more statements
		 * are added.
		 */
		public static final Setting<Integer> BATCH_CHARACTERS = Setting.standard("claims", "batch-characters",
				SettingFormats.COUNT, "65536",
				"The characters of kept answers in one append beyond which no more statements are added.");

		/**
		 * How long a claim waits for the log before its request is refused.
		 */
		public static final Setting<Long> PATIENCE = Setting.standard("claims", "patience", SettingFormats.TIME, "1 s",
				"How long a claim waits for the log before its request is refused.");

		/**
		 * The time between a failed append and the next one.
		 */
		public static final Setting<Long> RETRY = Setting.standard("claims", "retry", SettingFormats.TIME, "250 ms",
				"The time between a failed append and the next one.");

		/**
		 * How long another router may take to append a statement before this one does it
		 * itself.
		 */
		public static final Setting<Long> HAND_OVER = Setting.standard("claims", "hand-over", SettingFormats.TIME,
				"250 ms", "How long another router may take to append a statement before this one does it itself.");

		/**
		 * The time between two questions to the holder of a claim.
		 */
		public static final Setting<Long> QUERY = Setting.standard("claims", "query", SettingFormats.TIME, "500 ms",
				"The time between two questions to the holder of a claim.");

		/**
		 * How long a repeat waits for the running request at most.
		 */
		public static final Setting<Long> JOIN = Setting.standard("claims", "join", SettingFormats.TIME, "30 s",
				"How long a repeat waits for the running request at most.");

		/**
		 * The time after which a refused caller is told to come again.
		 */
		public static final Setting<Long> RETRY_AFTER = Setting.standard("claims", "retry-after", SettingFormats.TIME,
				"1 s", "The time after which a refused caller is told to come again.");

		/**
		 * The number of keys that a router remembers before it takes no further ones.
		 */
		public static final Setting<Integer> MAX_KEYS = Setting.standard("claims", "max-keys", SettingFormats.COUNT,
				"100000", "The number of keys that a router remembers before it takes no further ones.");

		/**
		 * The number of keys of one organisation that a router remembers before it takes
		 * no further ones of it.
		 */
		public static final Setting<Integer> MAX_KEYS_EACH = Setting.standard("claims", "max-keys-each",
				SettingFormats.COUNT, "50000",
				"The number of keys of one organisation that a router remembers before it takes no further ones of it.");

		/**
		 * The number of repeats that may wait at a router.
		 */
		public static final Setting<Integer> MAX_WAITING = Setting.standard("claims", "max-waiting",
				SettingFormats.NATURAL, "10000", "The number of repeats that may wait at a router.");

		/**
		 * The characters of all kept answers beyond which the oldest are forgotten.
		 */
		public static final Setting<Integer> MAX_ANSWERS = Setting.standard("claims", "max-answers",
				SettingFormats.COUNT, "8388608",
				"The characters of all kept answers beyond which the oldest are forgotten.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(WINDOW, CLOCK_SKEW, RESTATE_SPREAD, SETTLE, BATCHING,
				BATCH_RECORDS, BATCH_CHARACTERS, PATIENCE, RETRY, HAND_OVER, QUERY, JOIN, RETRY_AFTER, MAX_KEYS,
				MAX_KEYS_EACH, MAX_WAITING, MAX_ANSWERS);

		private Claims() {
		}

	}

	/**
	 * Requests that crash the upstreams which run them.
	 */
	public static final class Suspects {

		/**
		 * The number of crashes from which a request is refused.
		 */
		public static final Setting<Integer> COUNT = Setting.standard("suspects", "count", SettingFormats.COUNT, "2",
				"The number of crashes from which a request is refused.");

		/**
		 * How long a suspected request is refused.
		 */
		public static final Setting<Long> TIME = Setting.standard("suspects", "time", SettingFormats.TIME, "10 min",
				"How long a suspected request is refused.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(COUNT, TIME);

		private Suspects() {
		}

	}

	/**
	 * The state that operators control.
	 */
	public static final class Control {

		/**
		 * The time over which routers spread the renewal of the state in force in the
		 * log.
		 */
		public static final Setting<Long> REFRESH_SPREAD = Setting.standard("control", "refresh-spread",
				SettingFormats.TIME, "5 min",
				"The time over which routers spread the renewal of the state in force in the log.");

		/**
		 * The time between two renewals by one router.
		 */
		public static final Setting<Long> REFRESH_RETRY = Setting.standard("control", "refresh-retry",
				SettingFormats.TIME, "1 min", "The time between two renewals by one router.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(REFRESH_SPREAD, REFRESH_RETRY);

		private Control() {
		}

	}

	/**
	 * The records of what was promised and kept.
	 */
	public static final class Evidence {

		/**
		 * The period in which evidence is appended to the log.
		 */
		public static final Setting<Long> BATCHING = Setting.standard("evidence", "batching", SettingFormats.TIME,
				"1 s", "The period in which evidence is appended to the log.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(BATCHING);

		private Evidence() {
		}

	}

	/**
	 * The event loop.
	 */
	public static final class Loop {

		/**
		 * The period of the event loop's ticks.
		 */
		public static final Setting<Long> TICK = Setting.standard("loop", "tick", SettingFormats.TIME, "5 ms",
				"The period of the event loop's ticks.");

		/**
		 * The gap between two ticks from which everything with a time limit counts as
		 * lapsed.
		 */
		public static final Setting<Long> PAUSE = Setting.standard("loop", "pause", SettingFormats.TIME, "500 ms",
				"The gap between two ticks from which everything with a time limit counts as lapsed.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(TICK, PAUSE);

		private Loop() {
		}

	}

	/**
	 * The planned stop.
	 */
	public static final class Stop {

		/**
		 * How long the platform's balancer needs to notice that the router is not ready.
		 */
		public static final Setting<Long> NOTICE = Setting.standard("stop", "notice", SettingFormats.TIME, "2 s",
				"How long the platform's balancer needs to notice that the router is not ready.");

		/**
		 * How long running requests may take to finish.
		 */
		public static final Setting<Long> TIMEOUT = Setting.standard("stop", "timeout", SettingFormats.TIME, "5 min",
				"How long running requests may take to finish.");

		/**
		 * The settings of the section.
		 */
		private static final List<Setting<?>> ALL = List.of(NOTICE, TIMEOUT);

		private Stop() {
		}

	}

}
