import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine preempts its newest streams while the gateway drains and the other engine is in an evacuated zone. Checks
 * that all streams are delivered to their end.
 */
final class Case3 {

	private static final int STREAMS = 8;

	private static final int EVENTS = 50;

	private static final long EVENT_MILLIS = 100;

	private static final long TIME_LIMIT_MILLIS = 12_000;

	/** Retries are allowed from 10 s after the start of a gateway. */
	private static final long WARM_UP_MILLIS = 12_000;

	/** From the start of the streams. */
	private static final long SIGTERM_AFTER_MILLIS = 1_500;

	private static final long SILENCE_AFTER_MILLIS = 2_000;

	/** How long a stream rests that the engine preempts and reads again. */
	private static final long SILENCE_MILLIS = 1_600;

	/** How many streams the engine preempts, the newest first. */
	private static final int PREEMPTED = 2;

	private static volatile long silentFrom = Long.MAX_VALUE;

	private static final AtomicInteger runs = new AtomicInteger();

	public static void main(String[] arguments) {
		Scene.main(arguments, Case3::play);
	}

	private static boolean play(Scene scene) throws Exception {
		scene.configure(7, Scene.route("ask", "/ask/", "streaming", "pool", TIME_LIMIT_MILLIS, 2, true),
				Scene.engineService("pool", 360), Scene.tenant("hule930", Caller.KEY));
		scene.engine("i-a1", "pool", "kz-south-a", 64, (exchange) -> handle(scene, exchange));
		scene.engine("i-b1", "pool", "kz-south-b", 64, (exchange) -> handle(scene, exchange));
		Gateway gateway = scene.gateway("front-1", "kz-south-a");
		gateway.awaitReady();
		Tasks.sleep(WARM_UP_MILLIS);
		scene.store.put("keyed.op", "evacuate/kz-south-b", "{}");
		scene.record.line("the evacuation of kz-south-b is confirmed");
		Tasks.sleep(6_000);
		Queue<String> cut = new ConcurrentLinkedQueue<>();
		AtomicInteger complete = new AtomicInteger();
		long startedAt = System.nanoTime();
		if (scene.trouble) {
			silentFrom = startedAt + SILENCE_AFTER_MILLIS * 1_000_000;
		}
		List<Thread> threads = new ArrayList<>();
		for (int number = 0; number < STREAMS; number++) {
			threads.add(Tasks.start("caller", () -> ask(scene, gateway, cut, complete)));
		}
		Tasks.sleep(SIGTERM_AFTER_MILLIS);
		gateway.terminate();
		Tasks.join(threads, 15_000);
		gateway.awaitEnd(8_000 - SIGTERM_AFTER_MILLIS);
		cut.forEach((text) -> scene.record.line("LOST: %s", text));
		scene.record.result("streams %d, runs %d, complete %d, cut %d", STREAMS, runs.get(), complete.get(), cut.size());
		if (complete.get() + cut.size() < STREAMS) {
			throw new IllegalStateException("Not all streams began");
		}
		return !cut.isEmpty();
	}

	private static void ask(Scene scene, Gateway gateway, Queue<String> cut, AtomicInteger complete) {
		try (Caller caller = new Caller(gateway.callers())) {
			String id = Caller.newId();
			AtomicInteger events = new AtomicInteger();
			caller.send("POST", "/ask/slopes", id, TIME_LIMIT_MILLIS,
					"X-Ebonyford-Model: m\r\nX-Ebonyford-Token-Usage: 300,300\r\nX-Ebonyford-Prompt-Prefix: 5c1e07a2:200,"
							+ id.substring(8) + ":100\r\n",
					"how is the snow".getBytes());
			Caller.Answer answer = caller.receive(TIME_LIMIT_MILLIS, events::incrementAndGet);
			scene.record.line("stream %s: %s, %d events", id, answer, events.get());
			if (answer.whole() && answer.status() == 200 && events.get() == EVENTS) {
				complete.incrementAndGet();
			}
			else {
				cut.add("stream " + id + " was answered " + answer + " after " + events.get() + " of " + EVENTS
						+ " events");
			}
		}
		catch (IOException ex) {
			scene.record.line("a stream could not be sent: %s", ex);
		}
	}

	private static void handle(Scene scene, Engine.Exchange exchange) throws IOException {
		Engine engine = exchange.engine();
		String id = exchange.request().id();
		String after = exchange.request().header("Last-Event-Id");
		scene.record.line("engine %s runs stream %s after event '%s'", engine.id, id, after);
		boolean preempted = runs.incrementAndGet() > STREAMS - PREEMPTED;
		engine.running.incrementAndGet();
		try {
			exchange.beginStream();
			for (int number = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; number <= EVENTS; number++) {
				Tasks.sleep(EVENT_MILLIS);
				long silent = SILENCE_MILLIS - (System.nanoTime() - silentFrom) / 1_000_000;
				if (preempted && System.nanoTime() >= silentFrom && silent > 0) {
					scene.record.line("engine %s preempts: no event for %d ms in stream %s", engine.id, silent, id);
					Tasks.sleep(silent);
				}
				exchange.event(number, "piece " + number);
			}
			exchange.endStream();
			scene.record.line("engine %s has ended stream %s", engine.id, id);
		}
		catch (IOException ex) {
			scene.record.line("the connection of stream %s at engine %s was closed: %s", id, engine.id,
					ex.getMessage());
			throw ex;
		}
		finally {
			engine.running.decrementAndGet();
		}
	}

}
