package org.ebonyford.emulator.upstream;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.fault.Faults;
import org.ebonyford.emulator.http.Exchange;
import org.ebonyford.emulator.http.HttpListener;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.standin.StandIn;
import org.ebonyford.emulator.truth.Ledger;
import org.ebonyford.emulator.truth.Run;

/**
 * What model engines and plain services have in common: a load report that lags, a cold
 * start, a fall under too much work, and the count of what really ran. All state belongs
 * to one thread.
 */
abstract class UpstreamStandIn implements StandIn {

	/**
	 * The marker that makes a request crash the upstream that runs it.
	 */
	static final String CRASH_MARKER = "[crash]";

	/**
	 * The milliseconds to wait for the state's thread to answer.
	 */
	private static final long ANSWER_MILLIS = 10_000L;

	/**
	 * How the upstream behaves.
	 */
	private final UpstreamSettings settings;

	/**
	 * The thread that all state belongs to.
	 */
	private final ScheduledExecutorService loop;

	/**
	 * The faults that are switched on.
	 */
	private final Faults faults = new Faults();

	/**
	 * How much work the upstream bears.
	 */
	private final Capacity capacity;

	/**
	 * The count of what really ran.
	 */
	private final Ledger ledger;

	/**
	 * The listener for requests.
	 */
	private final HttpListener listener;

	/**
	 * A number that grows whenever the upstream starts anew.
	 */
	private long incarnation = 1 + ThreadLocalRandom.current().nextInt(Integer.MAX_VALUE);

	/**
	 * The requests that completed since the start.
	 */
	private long completed;

	/**
	 * Whether the upstream was told to leave.
	 */
	private boolean leaving;

	/**
	 * Until when the upstream starts, in nanoseconds of the machine's monotonic time.
	 */
	private long startsUntil = System.nanoTime();

	/**
	 * The last sample of the load report.
	 */
	private LoadSample sample;

	/**
	 * When the last sample was taken, in nanoseconds of the machine's monotonic time.
	 */
	private long sampledAt;

	/**
	 * Starts an upstream.
	 * @param settings how it behaves
	 */
	UpstreamStandIn(UpstreamSettings settings) {
		this.settings = settings;
		this.loop = Executors.newSingleThreadScheduledExecutor((task) -> daemon(task, settings.name()));
		this.capacity = new Capacity(settings.cold(), settings.warm(), settings.completionsPerSlot());
		this.ledger = new Ledger(this.capacity::bears);
		takeSample();
		this.listener = HttpListener.listen(settings.port(), this::accept);
		this.loop.scheduleAtFixedRate(this::takeSample, settings.reportMillis(), settings.reportMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Takes a call that is no load report, once its body was read. It is called on the
	 * thread that the state belongs to.
	 * @param call the call
	 */
	abstract void take(Call call);

	/**
	 * Forgets all running work, whose connections are broken already.
	 */
	abstract void dropAll();

	@Override
	public String name() {
		return this.settings.name();
	}

	@Override
	public String address() {
		return this.listener.address();
	}

	@Override
	public Faults faults() {
		return this.faults;
	}

	@Override
	public Object truth(boolean detailed) {
		return onLoop(() -> this.ledger.tell(name(), this.incarnation, detailed));
	}

	@Override
	public void order(String order, byte[] body) {
		Runnable action = switch (order) {
			case "leave" -> () -> leave(true);
			case "stay" -> () -> leave(false);
			case "restart" -> this::restart;
			case "warm" -> this::turnWarm;
			default -> throw new IllegalArgumentException("An upstream knows no order " + order);
		};
		onLoop(() -> {
			action.run();
			return true;
		});
	}

	@Override
	public void close() {
		this.listener.close();
		this.loop.shutdownNow();
	}

	/**
	 * Returns how the upstream behaves.
	 * @return the settings
	 */
	UpstreamSettings settings() {
		return this.settings;
	}

	/**
	 * Returns the count of what really ran.
	 * @return the ledger
	 */
	Ledger ledger() {
		return this.ledger;
	}

	/**
	 * Returns what the upstream bears.
	 * @return the capacity
	 */
	Capacity capacity() {
		return this.capacity;
	}

	/**
	 * Runs a task on the thread that the state belongs to.
	 * @param task the task
	 * @param micros the microseconds after which it runs
	 */
	void later(Runnable task, long micros) {
		if (!this.loop.isShutdown()) {
			this.loop.schedule(() -> guarded(task), micros, TimeUnit.MICROSECONDS);
		}
	}

	/**
	 * Begins a run, or falls over if it is more than the upstream bears.
	 * @param call the call that asks for the run
	 * @return the number of the run, or empty if the upstream fell over
	 */
	Optional<Integer> begin(Call call) {
		int run = this.ledger.begin(call.requestId(), call.key(), call.organisation());
		if (this.ledger.running() <= this.capacity.bears()) {
			return Optional.of(run);
		}
		this.ledger.fall();
		this.ledger.end(run, Run.Ending.CRASHED);
		restart();
		return Optional.empty();
	}

	/**
	 * Ends a run that came to its end.
	 * @param run the number of the run
	 */
	void complete(int run) {
		this.ledger.end(run, Run.Ending.COMPLETED);
		this.completed++;
		this.capacity.complete();
	}

	/**
	 * Crashes under a marked request.
	 */
	void crash() {
		this.ledger.crash();
		restart();
	}

	/**
	 * Breaks all connections and starts anew, cold.
	 */
	private void restart() {
		this.listener.breakConnections();
		dropAll();
		this.ledger.measure();
		this.capacity.turnCold();
		this.incarnation++;
		this.completed = 0;
		this.startsUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.restartMillis());
	}

	private void turnWarm() {
		this.ledger.measure();
		this.capacity.turnWarm();
	}

	private void leave(boolean leave) {
		this.leaving = leave;
		this.ledger.leave(leave);
	}

	private void takeSample() {
		this.sample = new LoadSample(this.incarnation, this.ledger.running(), this.completed, 0, this.leaving);
		this.sampledAt = System.nanoTime();
	}

	private LoadSample report() {
		return this.sample.aged(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.sampledAt));
	}

	private void accept(Exchange exchange) {
		if (exchange.path().equals("/load")) {
			later(() -> report(exchange), 0);
			return;
		}
		exchange.body().whenComplete((body, failure) -> {
			if (failure != null) {
				exchange.breakOff();
				return;
			}
			later(() -> arrive(exchange, body), 0);
		});
	}

	private void report(Exchange exchange) {
		if (starting()) {
			exchange.breakOff();
			return;
		}
		Optional<Fault> fault = this.faults.strike("load");
		if (fault.isPresent()) {
			exchange.answer(503, Map.of());
			return;
		}
		exchange.answer(200, report());
	}

	private void arrive(Exchange exchange, byte[] body) {
		if (starting()) {
			exchange.breakOff();
			return;
		}
		Call call = new Call(exchange, body, exchange.header("X-Request-Id").orElse(""),
				exchange.header("Idempotency-Key").orElse(""), organisation(exchange, body),
				this.faults.strike("work", body));
		if (!turnedAway(call)) {
			take(call);
		}
	}

	private boolean turnedAway(Call call) {
		if (call.struckBy(Fault.Kind.DECLINE)) {
			this.ledger.decline();
			call.exchange().answer(503, Map.of("X-Not-Run", "true"), new byte[0]);
			return true;
		}
		if (call.struckBy(Fault.Kind.OUTAGE)) {
			call.exchange().answer(503, Map.of());
			return true;
		}
		if (call.struckBy(Fault.Kind.UNREACHABLE)) {
			call.exchange().breakOff();
			return true;
		}
		if (call.struckBy(Fault.Kind.SLOW)) {
			long micros = TimeUnit.MILLISECONDS.toMicros(call.delay());
			later(() -> take(call.withoutFault()), micros);
			return true;
		}
		if (call.struckBy(Fault.Kind.HELD)) {
			this.faults.hold(() -> later(() -> take(call.withoutFault()), 0));
			return true;
		}
		return false;
	}

	private boolean starting() {
		return System.nanoTime() - this.startsUntil < 0;
	}

	private <T> T onLoop(Supplier<T> task) {
		return CompletableFuture.supplyAsync(task, this.loop).orTimeout(ANSWER_MILLIS, TimeUnit.MILLISECONDS).join();
	}

	/**
	 * Returns the organisation that a request was marked with.
	 * @param exchange the exchange
	 * @param body the body of the request
	 * @return the name, empty if there is none
	 */
	private static String organisation(Exchange exchange, byte[] body) {
		Optional<String> header = exchange.header("X-Organisation");
		if (header.isPresent() || body.length == 0) {
			return header.orElse("");
		}
		JsonNode user = Json.tree(body).path("user");
		return user.asText("");
	}

	private static void guarded(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			Thread thread = Thread.currentThread();
			thread.getUncaughtExceptionHandler().uncaughtException(thread, ex);
		}
	}

	private static Thread daemon(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		return thread;
	}

}
