package org.ebonyford.emulator.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongFunction;

import org.ebonyford.emulator.process.Await;

/**
 * Sends requests of many organisations over many routes until it is stopped.
 */
public final class Load implements AutoCloseable {

	/**
	 * The seconds within which all answers have to come after the load was stopped.
	 */
	private static final long DRAIN_SECONDS = 90;

	/**
	 * The pause in milliseconds before a caller that keeps a backlog goes on after a
	 * refusal that does not say when.
	 */
	private static final long REFUSED_PAUSE_MILLIS = 50;

	/**
	 * The client that sends and checks.
	 */
	private final CheckingClient client = new CheckingClient();

	/**
	 * Sends requests when their time comes.
	 */
	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, (task) -> {
		Thread thread = new Thread(task, "load");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * The judgements so far.
	 */
	private final List<Verdict> verdicts = Collections.synchronizedList(new ArrayList<>());

	/**
	 * The seeded decisions.
	 */
	private final Random random;

	/**
	 * The numbers of the requests.
	 */
	private final AtomicLong sequence = new AtomicLong();

	/**
	 * The requests whose answers have not come.
	 */
	private final AtomicInteger open = new AtomicInteger();

	/**
	 * Whether no further request is sent.
	 */
	private volatile boolean stopped;

	/**
	 * Creates a load.
	 * @param seed decides everything that varies
	 */
	public Load(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Sends requests at times that do not depend on the answers.
	 * @param perSecond the requests a second on average
	 * @param balancer chooses the route of each request
	 * @param specs makes a request out of its number
	 * @return this load
	 */
	public Load rate(double perSecond, Balancer balancer, LongFunction<CallSpec> specs) {
		scheduleNext(new Random(nextSeed()), perSecond, balancer, specs, System.nanoTime());
		return this;
	}

	/**
	 * Keeps a number of requests open at any time.
	 * @param outstanding the number of requests
	 * @param balancer chooses the route of each request
	 * @param specs makes a request out of its number
	 * @return this load
	 */
	public Load backlog(int outstanding, Balancer balancer, LongFunction<CallSpec> specs) {
		Random draw = new Random(nextSeed());
		return backlogThrough(outstanding, (spec) -> this.client.send(next(balancer, draw), spec), specs);
	}

	/**
	 * Keeps a number of requests open at any time.
	 * @param outstanding the number of requests
	 * @param way sends each request
	 * @param specs makes a request out of its number
	 * @return this load
	 */
	public Load backlogThrough(int outstanding, Function<CallSpec, CompletableFuture<Verdict>> way,
			LongFunction<CallSpec> specs) {
		for (int index = 0; index < outstanding; index++) {
			keepOpen(way, specs);
		}
		return this;
	}

	/**
	 * Sends one request.
	 * @param route the way that it takes
	 * @param spec the request
	 * @return the judgement on the answer
	 */
	public CompletableFuture<Verdict> send(Route route, CallSpec spec) {
		return counted((counted) -> this.client.send(route, counted), spec);
	}

	/**
	 * Lets the load run for a while.
	 * @param millis the milliseconds
	 * @return this load
	 */
	public Load during(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return this;
	}

	/**
	 * Returns the judgements so far.
	 * @return a report
	 */
	public Report report() {
		synchronized (this.verdicts) {
			return new Report(this.verdicts);
		}
	}

	/**
	 * Returns the requests whose answers have not come.
	 * @return the number of requests
	 */
	public int open() {
		return this.open.get();
	}

	/**
	 * Sends no further request and waits for all answers.
	 * @return the report on all of them
	 * @throws IllegalStateException if answers are missing after a generous time
	 */
	public Report stop() {
		this.stopped = true;
		Await.until(() -> this.open.get() + " answers", DRAIN_SECONDS, () -> this.open.get() == 0);
		return report();
	}

	@Override
	public void close() {
		this.stopped = true;
		this.scheduler.shutdownNow();
		this.client.close();
	}

	private synchronized long nextSeed() {
		return this.random.nextLong();
	}

	private void scheduleNext(Random draw, double perSecond, Balancer balancer, LongFunction<CallSpec> specs,
			long last) {
		long gap = (long) (-Math.log(1 - draw.nextDouble()) / perSecond * TimeUnit.SECONDS.toNanos(1));
		long next = last + gap;
		this.scheduler.schedule(() -> {
			if (this.stopped) {
				return;
			}
			send(balancer.next(draw), specs.apply(this.sequence.incrementAndGet()));
			scheduleNext(draw, perSecond, balancer, specs, next);
		}, Math.max(0, next - System.nanoTime()), TimeUnit.NANOSECONDS);
	}

	private void keepOpen(Function<CallSpec, CompletableFuture<Verdict>> way, LongFunction<CallSpec> specs) {
		if (this.stopped) {
			return;
		}
		counted(way, specs.apply(this.sequence.incrementAndGet())).thenAccept((verdict) -> {
			long pause = verdict.completed() ? 0 : verdict.retryAfterMillis().orElse(REFUSED_PAUSE_MILLIS);
			if (!this.stopped) {
				this.scheduler.schedule(() -> keepOpen(way, specs), pause, TimeUnit.MILLISECONDS);
			}
		});
	}

	private CompletableFuture<Verdict> counted(Function<CallSpec, CompletableFuture<Verdict>> way, CallSpec spec) {
		this.open.incrementAndGet();
		return way.apply(spec).thenApply((verdict) -> {
			this.verdicts.add(verdict);
			this.open.decrementAndGet();
			return verdict;
		});
	}

	private static Route next(Balancer balancer, Random draw) {
		synchronized (draw) {
			return balancer.next(draw);
		}
	}

}
