import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new configuration raises the limit on bodies. Checks that consumers whose connections are older may send what it
 * allows.
 */
final class Case5 {

	private static final int CALLERS = 20;

	private static final int FIRST_LIMIT = 65_536;

	private static final int RAISED_LIMIT = 4_194_304;

	private static final int BODY_BYTES = 72_000;

	private static final int LARGE_REQUESTS = 2;

	private static final long TIME_LIMIT_MILLIS = 1_500;

	/** More than `config_apply_ms`, which is 2,000. */
	private static final long APPLY_MILLIS = 5_000;

	private static final AtomicInteger sent = new AtomicInteger();

	private static final AtomicInteger answered = new AtomicInteger();

	private static final AtomicInteger closed = new AtomicInteger();

	public static void main(String[] arguments) {
		Scene.main(arguments, Case5::play);
	}

	private static boolean play(Scene scene) throws Exception {
		configure(scene, 7, scene.trouble ? FIRST_LIMIT : RAISED_LIMIT);
		for (int number = 1; number <= 2; number++) {
			scene.engine("i-b" + number, "booking-core", "kz-south-a", 24, (exchange) -> handle(scene, exchange));
		}
		Gateway gateway = scene.gateway("front-1", "kz-south-a");
		gateway.awaitReady();
		Tasks.sleep(4_000);
		Queue<String> denied = new ConcurrentLinkedQueue<>();
		List<Thread> threads = new ArrayList<>();
		long startedAt = System.nanoTime();
		for (int number = 0; number < CALLERS; number++) {
			threads.add(Tasks.start("caller", () -> file(scene, gateway, startedAt, denied)));
		}
		Tasks.sleep(3_000);
		configure(scene, 8, RAISED_LIMIT);
		Tasks.join(threads, 30_000);
		denied.forEach((text) -> scene.record.line("DENIED: %s", text));
		double bound = 5 + sent.get() / 500.0;
		scene.record.result("requests %d, answered 200 %d, denied %d (bound %.1f), closed without an answer %d",
				sent.get(), answered.get(), denied.size(), bound, closed.get());
		if (answered.get() + denied.size() + closed.get() < sent.get()) {
			throw new IllegalStateException("Some requests have another result");
		}
		return denied.size() > bound;
	}

	private static void configure(Scene scene, int version, int maxBodyBytes) {
		scene.configure(version,
				Scene.route("file", "/file/", "non_idempotent", "booking-core", TIME_LIMIT_MILLIS, 1, false),
				Scene.service("booking-core", 96), Scene.tenant("hule930", Caller.KEY), maxBodyBytes);
		scene.record.line("max_body_bytes is %d", maxBodyBytes);
	}

	/** Sends a small request each half second, and large ones once the configuration has long been in force. */
	private static void file(Scene scene, Gateway gateway, long startedAt, Queue<String> denied) {
		try (Caller caller = new Caller(gateway.callers())) {
			int large = 0;
			while (large < LARGE_REQUESTS) {
				boolean raised = System.nanoTime() - startedAt > (3_000 + APPLY_MILLIS) * 1_000_000L;
				large += raised ? 1 : 0;
				byte[] body = new byte[raised ? BODY_BYTES : 600];
				String id = Caller.newId();
				sent.incrementAndGet();
				Caller.Answer answer = caller.call("POST", "/file/visit", id, TIME_LIMIT_MILLIS, "", body);
				scene.record.line("request %s of %d bytes: %s", id, body.length, answer);
				if (answer.status() == 200) {
					answered.incrementAndGet();
				}
				else if (answer.status() == 0) {
					// The gateway closes with unread bytes, which may destroy its answer.
					closed.incrementAndGet();
				}
				else if (denies(answer.status())) {
					denied.add("request " + id + " of " + body.length + " bytes was answered " + answer.status());
				}
				Tasks.sleep(500);
			}
		}
	}

	/** A 3xx or 4xx other than those that the rule excuses. */
	private static boolean denies(int status) {
		return status >= 300 && status < 500 && !List.of(408, 421, 429).contains(status);
	}

	private static void handle(Scene scene, Engine.Exchange exchange) throws IOException {
		scene.record.line("engine %s runs %s of %d bytes", exchange.engine().id, exchange.request().id(),
				exchange.request().body().length);
		Tasks.sleep(15);
		exchange.send("200 OK", exchange.seal(), "filed".getBytes());
	}

}
