package org.ebonyford.router.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import jakarta.servlet.AsyncContext;
import jakarta.servlet.ServletException;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

import org.ebonyford.configuration.Configuration;
import org.ebonyford.configuration.Pool;
import org.ebonyford.configuration.Use;
import org.ebonyford.event.Event;
import org.ebonyford.identity.Digests;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Request;
import org.ebonyford.router.EventSink;
import org.ebonyford.time.Clock;

/**
 * Takes callers' requests. It is a servlet and not a Jersey resource, since a resource
 * reads and writes bodies through blocking streams and would hold a thread for the life
 * of each stream; a servlet reads and writes when its connection is ready.
 */
public final class CallerServlet extends HttpServlet {

	/**
	 * The version of the protocol, in which a cut answer shows as such.
	 */
	private static final String HTTP_VERSION = "HTTP/1.1";

	/**
	 * The path of chat completions.
	 */
	private static final String COMPLETIONS = "/v1/chat/completions";

	/**
	 * The methods that calls to services may have.
	 */
	private static final List<String> METHODS = List.of("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT");

	/**
	 * The idempotency keys that are accepted.
	 */
	private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");

	/**
	 * The queries that are accepted.
	 */
	private static final Pattern QUERY = Pattern.compile("[\\x21-\\x7e&&[^#\"<>]]*");

	/**
	 * The characters that a path and a query may have together.
	 */
	private static final int MAX_TARGET = 4096;

	/**
	 * The tokens that a completion is expected to cost if nothing else is known.
	 */
	private static final long ENGINE_COST = 256;

	/**
	 * The largest cost that a caller may announce.
	 */
	private static final long MAX_COST = 1_000_000_000;

	private static final long serialVersionUID = 1L;

	/**
	 * Returns the configuration in force, or empty if there is none.
	 */
	private final transient Supplier<Optional<Configuration>> configuration;

	/**
	 * The clock that deadlines are set by.
	 */
	private final transient Clock clock;

	/**
	 * Takes the events.
	 */
	private final transient EventSink sink;

	/**
	 * The bounds on requests.
	 */
	private final transient CallerSettings settings;

	/**
	 * Makes a name for each request.
	 */
	private final transient Supplier<RequestId> ids;

	/**
	 * The requests that are held.
	 */
	private final transient PendingRequests pending;

	/**
	 * Measures the requests.
	 */
	private final transient CallerMetrics metrics;

	/**
	 * Finds the organisations of keys.
	 */
	private final transient Authenticator authenticator = new Authenticator();

	/**
	 * Finds callers that left, {@code null} before the servlet is in service.
	 */
	private transient ConnectionMonitor monitor;

	/**
	 * Creates a servlet.
	 * @param configuration returns the configuration in force, or empty if there is none
	 * @param clock the clock that deadlines are set by
	 * @param sink takes the events
	 * @param settings the bounds on requests
	 * @param ids makes a name for each request
	 * @param pending the requests that are held
	 * @param metrics measures the requests
	 */
	public CallerServlet(Supplier<Optional<Configuration>> configuration, Clock clock, EventSink sink,
			CallerSettings settings, Supplier<RequestId> ids, PendingRequests pending, CallerMetrics metrics) {
		this.configuration = configuration;
		this.clock = clock;
		this.sink = sink;
		this.settings = settings;
		this.ids = ids;
		this.pending = pending;
		this.metrics = metrics;
	}

	@Override
	public void init() throws ServletException {
		try {
			this.monitor = new ConnectionMonitor(this.settings);
		}
		catch (IOException ex) {
			throw new ServletException("Callers' connections can't be watched", ex);
		}
	}

	@Override
	public void destroy() {
		try {
			this.monitor.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	protected void service(HttpServletRequest request, HttpServletResponse response) throws IOException {
		RequestId id = this.ids.get();
		AsyncContext context = request.startAsync();
		context.setTimeout(0);
		ServletAnswer answer = new ServletAnswer(context, this.clock, () -> leave(id));
		context.addListener(answer);
		this.monitor.add(answer);
		try {
			Entry entry = admit(id, request);
			read(entry, request, answer);
		}
		catch (RejectedException ex) {
			reject(id, request, answer, ex);
		}
	}

	private Entry admit(RequestId id, HttpServletRequest request) throws RejectedException {
		if (!HTTP_VERSION.equals(request.getProtocol())) {
			throw new RejectedException(Rejection.HTTP_VERSION, "An older version can't show that an answer was cut.");
		}
		List<HeaderField> headers = headers(request);
		Configuration current = this.configuration.get()
			.orElseThrow(() -> new RejectedException(Rejection.NOT_READY, "The router has no configuration in force."));
		OrganisationId organisation = this.authenticator
			.organisation(current, single(request, "Authorization").orElse(null))
			.orElseThrow(() -> new RejectedException(Rejection.UNAUTHENTICATED,
					"The request needs an Authorization header with a known key."));
		Target target = target(request);
		if (request.getContentLengthLong() > this.settings.maxBodyBytes()) {
			throw new RejectedException(Rejection.BODY_TOO_LARGE,
					"The body has more than " + this.settings.maxBodyBytes() + " bytes.");
		}
		return new Entry(id, current, organisation, target, headers);
	}

	private List<HeaderField> headers(HttpServletRequest request) throws RejectedException {
		List<HeaderField> headers = new ArrayList<>();
		long bytes = 0;
		for (String name : Collections.list(request.getHeaderNames())) {
			for (String value : Collections.list(request.getHeaders(name))) {
				headers.add(new HeaderField(name, value));
				bytes += name.length() + value.length();
			}
		}
		if (headers.size() > this.settings.maxHeaderCount() || bytes > this.settings.maxHeaderBytes()) {
			throw new RejectedException(Rejection.HEADERS_TOO_LARGE, "A request may have "
					+ this.settings.maxHeaderCount() + " headers of " + this.settings.maxHeaderBytes() + " bytes.");
		}
		return headers;
	}

	private static Target target(HttpServletRequest request) throws RejectedException {
		String path = request.getRequestURI();
		String query = (request.getQueryString() != null) ? "?" + request.getQueryString() : "";
		if (path.length() + query.length() > MAX_TARGET) {
			throw new RejectedException(Rejection.TARGET_TOO_LONG, "The target has more than 4096 characters.");
		}
		if (!QUERY.matcher(query).matches()) {
			throw new RejectedException(Rejection.MALFORMED, "The query is not valid.");
		}
		if (path.equals(COMPLETIONS)) {
			requireMethod(request, List.of("POST"));
			return new Target(Optional.empty(), COMPLETIONS);
		}
		if (path.startsWith(ServicePath.PREFIX)) {
			requireMethod(request, METHODS);
			ServicePath service = ServicePath.parse(path);
			return new Target(Optional.of(service.pool()), service.path() + query);
		}
		throw new RejectedException(Rejection.NO_SUCH_PATH, "The router has nothing at this path.");
	}

	private static void requireMethod(HttpServletRequest request, List<String> methods) throws RejectedException {
		if (!methods.contains(request.getMethod())) {
			throw new RejectedException(Rejection.METHOD_NOT_ALLOWED,
					"The path takes " + String.join(", ", methods) + ".");
		}
	}

	private void read(Entry entry, HttpServletRequest request, ServletAnswer answer)
			throws IOException, RejectedException {
		if (!this.pending.tryEnter()) {
			throw new RejectedException(Rejection.OVERLOADED, "The router holds as many requests as it may.");
		}
		BodyReader reader = new BodyReader(this.settings.maxBodyBytes(), request.getInputStream(), this.pending);
		answer.limitArrival(this.settings.defaultTimeoutMillis(), reader::expire);
		reader.read().whenComplete((body, failure) -> {
			if (failure instanceof RejectedException ex) {
				reject(entry.id(), request, answer, ex);
				return;
			}
			accept(entry, request, answer, body);
		});
	}

	private void accept(Entry entry, HttpServletRequest request, ServletAnswer answer, byte[] body) {
		PendingRequest arrived;
		try {
			arrived = pendingRequest(entry, request, answer, body);
		}
		catch (RejectedException ex) {
			this.pending.release(body.length);
			reject(entry.id(), request, answer, ex);
			return;
		}
		answer.arrived();
		this.pending.add(arrived);
		if (answer.isEnded()) {
			this.pending.remove(entry.id());
			return;
		}
		this.sink.accept(new Event.RequestArrived(this.clock.millis(), arrived.request()));
	}

	private PendingRequest pendingRequest(Entry entry, HttpServletRequest request, ServletAnswer answer, byte[] body)
			throws RejectedException {
		boolean service = entry.target().pool().isPresent();
		Completion completion = service ? null : Completion.parse(body);
		PoolId pool = service ? entry.target().pool().get() : new PoolId(completion.model());
		Pool.Kind kind = service ? Pool.Kind.SERVICE : Pool.Kind.ENGINE;
		RequestClass requestClass = requestClass(entry, request, pool, kind);
		long costHint = costHint(request, completion);
		Optional<IdempotencyKey> key = idempotencyKey(request);
		long deadline = this.clock.millis() + timeout(request);
		Fingerprint fingerprint = fingerprint(entry, request.getMethod(), body);
		Request facts = new Request(entry.id(), entry.organisation(), pool, requestClass, costHint, deadline, key,
				fingerprint);
		EndToEndHeaders selection = service ? EndToEndHeaders.OF_SERVICE_REQUEST : EndToEndHeaders.OF_ENGINE_REQUEST;
		PendingRequest.Content content = new PendingRequest.Content(kind, request.getMethod(), entry.target().path(),
				selection.select(entry.headers()), body, !service && completion.stream());
		return new PendingRequest(facts, content, answer, this.metrics.start(entry.organisation(), requestClass));
	}

	private static RequestClass requestClass(Entry entry, HttpServletRequest request, PoolId pool, Pool.Kind kind)
			throws RejectedException {
		Pool found = entry.configuration().pools().get(pool);
		if (found == null || found.kind() != kind) {
			throw new RejectedException(Rejection.NO_SUCH_POOL, "There is no such pool of this kind.");
		}
		Use use = entry.configuration()
			.use(entry.organisation(), pool)
			.orElseThrow(() -> new RejectedException(Rejection.NOT_ENTITLED, "The plan may not use the pool."));
		Optional<String> name = single(request, "X-Request-Class");
		if (name.isEmpty()) {
			return Collections.min(use.classes(), (one, other) -> one.value().compareTo(other.value()));
		}
		return use.classes()
			.stream()
			.filter((allowed) -> allowed.value().equals(name.get()))
			.findFirst()
			.orElseThrow(() -> new RejectedException(Rejection.NOT_ENTITLED, "The plan may not use the class."));
	}

	private static long costHint(HttpServletRequest request, Completion completion) throws RejectedException {
		Optional<String> hint = single(request, "X-Cost-Hint");
		if (hint.isPresent()) {
			return number("X-Cost-Hint", hint.get(), MAX_COST);
		}
		if (completion == null) {
			return 1;
		}
		return Math.min(completion.maxTokens().orElse(ENGINE_COST), MAX_COST);
	}

	private long timeout(HttpServletRequest request) throws RejectedException {
		Optional<String> timeout = single(request, "X-Request-Timeout-Ms");
		if (timeout.isEmpty()) {
			return this.settings.defaultTimeoutMillis();
		}
		return Math.min(number("X-Request-Timeout-Ms", timeout.get(), Long.MAX_VALUE),
				this.settings.maxTimeoutMillis());
	}

	private static Optional<IdempotencyKey> idempotencyKey(HttpServletRequest request) throws RejectedException {
		Optional<String> key = single(request, "Idempotency-Key");
		if (key.isPresent() && !IDEMPOTENCY_KEY.matcher(key.get()).matches()) {
			throw new RejectedException(Rejection.MALFORMED,
					"Idempotency-Key needs 1 to 255 visible ASCII characters.");
		}
		return key.map(IdempotencyKey::new);
	}

	private static long number(String name, String text, long max) throws RejectedException {
		try {
			long number = Long.parseLong(text);
			if (number >= 1 && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			throw new RejectedException(Rejection.MALFORMED, name + " is not an integer.");
		}
		throw new RejectedException(Rejection.MALFORMED, name + " is out of range.");
	}

	private static Optional<String> single(HttpServletRequest request, String name) throws RejectedException {
		List<String> values = Collections.list(request.getHeaders(name));
		if (values.size() > 1) {
			throw new RejectedException(Rejection.MALFORMED, name + " came more than once.");
		}
		return values.stream().findFirst();
	}

	private static Fingerprint fingerprint(Entry entry, String method, byte[] body) {
		return new Fingerprint(Digests.ofParts(bytes(entry.organisation().value()), bytes(method),
				bytes(entry.target().pool().map(PoolId::value).orElse("")), bytes(entry.target().path()), body));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private void reject(RequestId id, HttpServletRequest request, ServletAnswer answer, RejectedException ex) {
		this.metrics.refused(ex.rejection().label());
		Problem problem = Problem.of(id, ex.rejection(), ex.getMessage());
		List<HeaderField> headers = new ArrayList<>(problem.headers());
		switch (ex.rejection()) {
			case UNAUTHENTICATED -> headers.add(new HeaderField("WWW-Authenticate", "Bearer"));
			case METHOD_NOT_ALLOWED -> headers.add(new HeaderField("Allow", allowed(request)));
			case BODY_TOO_LARGE, BODY_TIMEOUT, OVERLOADED -> headers.add(new HeaderField("Connection", "close"));
			default -> {
			}
		}
		answer.whole(problem.status(), headers, problem.json());
	}

	private static String allowed(HttpServletRequest request) {
		return request.getRequestURI().equals(COMPLETIONS) ? "POST" : String.join(", ", METHODS);
	}

	private void leave(RequestId id) {
		this.pending.remove(id).ifPresent((left) -> {
			left.depart();
			this.sink.accept(new Event.CallerLeft(this.clock.millis(), id));
		});
	}

	/**
	 * A request whose body is still to be read.
	 *
	 * @param id the name of the request
	 * @param configuration the configuration that the request is checked against
	 * @param organisation the organisation
	 * @param target what the request asks for
	 * @param headers all headers of the request
	 */
	private record Entry(RequestId id, Configuration configuration, OrganisationId organisation, Target target,
			List<HeaderField> headers) {

	}

	/**
	 * What a request asks for.
	 *
	 * @param pool the pool of services, or empty for a chat completion
	 * @param path the path and query at the upstream
	 */
	private record Target(Optional<PoolId> pool, String path) {

	}

}
