package org.ebonyford.router.loop;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.flogger.FluentLogger;

import org.ebonyford.effect.Effect;
import org.ebonyford.event.Event;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.EventSink;
import org.ebonyford.time.Clock;

/**
 * Applies events one after another on a thread of its own and hands each effect to a
 * handler. A tick that is due goes before every other event, so that a pause is noticed
 * before anything is decided.
 */
public final class EventLoop implements EventSink, AutoCloseable {

	/**
	 * The writer of the log.
	 */
	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Decides on the effects of each event.
	 */
	private final Function<Event, List<Effect>> reducer;

	/**
	 * Carries out the effects.
	 */
	private final EffectHandler handler;

	/**
	 * The monotonic clock.
	 */
	private final Clock clock;

	/**
	 * The wall clock.
	 */
	private final Clock epoch;

	/**
	 * The milliseconds between two ticks.
	 */
	private final long tickMillis;

	/**
	 * What waits to be run on the loop's thread.
	 */
	private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

	/**
	 * Times how long an event takes to apply.
	 */
	private final Timer applied;

	/**
	 * The thread that runs the loop.
	 */
	private final Thread thread;

	/**
	 * The clock reading at which the next tick is due.
	 */
	private long nextTick;

	/**
	 * Whether the loop goes on.
	 */
	private volatile boolean running = true;

	/**
	 * Creates a loop that does not run yet.
	 * @param reducer decides on the effects of each event
	 * @param handler carries out the effects
	 * @param clock the monotonic clock
	 * @param epoch the wall clock
	 * @param tickMillis the milliseconds between two ticks
	 * @param registry keeps the loop's metrics
	 */
	public EventLoop(Function<Event, List<Effect>> reducer, EffectHandler handler, Clock clock, Clock epoch,
			long tickMillis, MetricRegistry registry) {
		this.reducer = reducer;
		this.handler = handler;
		this.clock = clock;
		this.epoch = epoch;
		this.tickMillis = tickMillis;
		this.applied = registry.timer("loop.apply");
		registry.gauge("loop.queue", () -> (Gauge<Integer>) this.tasks::size);
		this.thread = new Thread(this::run, "event-loop");
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.nextTick = this.clock.millis();
		this.thread.start();
	}

	@Override
	public void accept(Event event) {
		this.tasks.add(() -> apply(event));
	}

	/**
	 * Reads something on the loop's thread.
	 * @param <T> the type of what is read
	 * @param question reads it
	 * @return what was read, or the failure of the reading
	 */
	public <T> CompletableFuture<T> ask(Supplier<T> question) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.tasks.add(() -> {
			try {
				answer.complete(question.get());
			}
			catch (RuntimeException ex) {
				answer.completeExceptionally(ex);
			}
		});
		return answer;
	}

	private void run() {
		while (this.running) {
			try {
				turn();
			}
			catch (InterruptedException ex) {
				this.running = false;
			}
			catch (RuntimeException ex) {
				logger.atSevere().withCause(ex).log("An event could not be applied");
			}
		}
	}

	private void turn() throws InterruptedException {
		long wait = this.nextTick - this.clock.millis();
		Runnable task = (wait > 0) ? this.tasks.poll(wait, TimeUnit.MILLISECONDS) : this.tasks.poll();
		tickIfDue();
		if (task != null) {
			task.run();
		}
	}

	private void tickIfDue() {
		long now = this.clock.millis();
		if (now >= this.nextTick) {
			this.nextTick = now + this.tickMillis;
			apply(new Event.Tick(now, this.epoch.millis()));
		}
	}

	private void apply(Event event) {
		List<Effect> effects;
		try (Timer.Context timing = this.applied.time()) {
			effects = this.reducer.apply(event);
		}
		for (Effect effect : effects) {
			carryOut(effect);
		}
		this.handler.flush();
	}

	private void carryOut(Effect effect) {
		try {
			this.handler.handle(effect);
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("An effect could not be carried out: %s", effect.getClass());
		}
	}

	@Override
	public void close() {
		this.running = false;
		this.thread.interrupt();
	}

}
