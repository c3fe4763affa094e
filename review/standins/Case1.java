import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines send the beginning of a second copy after a complete answer. Checks that no payment runs twice, that none
 * which has run is refused, and that no caller gets another status than the engine gave.
 */
final class Case1 {

	private static final int ENGINES = 5;

	private static final int AFFECTED = 3;

	private static final int CALLERS = 44;

	/** The longest pause of a caller between two payments. */
	private static final int PAUSE_MILLIS = 50;

	private static final int SLOTS = 6;

	private static final int QUEUE = 2;

	private static final long WORK_MILLIS = 25;

	private static final long TIME_LIMIT_MILLIS = 1_500;

	/** Retries are allowed from 10 s after the start of a gateway. */
	private static final long WARM_UP_MILLIS = 12_000;

	private static final long EPISODE_MILLIS = 5_000;

	private static final int EPISODES = 8;

	private static final long CALM_MILLIS = 1_000;

	private static final double GARBLED = 0.03;

	/** The length of what comes of the second copy. */
	private static final int TORN_BYTES = 90;

	private static volatile boolean faulty;

	private static final AtomicInteger garbled = new AtomicInteger();

	private static final AtomicInteger refusals = new AtomicInteger();

	/** The engines that ran each request, with the status that each gave. */
	private static final Map<String, Queue<String>> runs = new ConcurrentHashMap<>();

	public static void main(String[] arguments) {
		Scene.main(arguments, Case1::play);
	}

	private static boolean play(Scene scene) throws Exception {
		scene.configure(7, Scene.route("pay", "/pay/", "non_idempotent", "booking-core", TIME_LIMIT_MILLIS, 1, false),
				Scene.service("booking-core", 96), Scene.tenant("hule930", Caller.KEY));
		for (int number = 1; number <= ENGINES; number++) {
			boolean affected = number <= AFFECTED;
			scene.engine("i-b" + number, "booking-core", "kz-south-a", SLOTS,
					(exchange) -> handle(scene, exchange, affected));
		}
		Gateway gateway = scene.gateway("front-1", "kz-south-a");
		gateway.awaitReady();
		AtomicInteger calls = new AtomicInteger();
		Queue<String> broken = new ConcurrentLinkedQueue<>();
		long until = System.nanoTime() + (WARM_UP_MILLIS + EPISODES * (EPISODE_MILLIS + CALM_MILLIS)) * 1_000_000L;
		List<Thread> threads = new ArrayList<>();
		for (int number = 0; number < CALLERS; number++) {
			threads.add(Tasks.start("caller", () -> pay(scene, gateway, until, calls, broken)));
		}
		Tasks.sleep(WARM_UP_MILLIS);
		for (int episode = 0; episode < EPISODES; episode++) {
			faulty = scene.trouble;
			scene.record.line("the fault begins: %s", faulty);
			Tasks.sleep(EPISODE_MILLIS);
			faulty = false;
			scene.record.line("the fault ends");
			Tasks.sleep(CALM_MILLIS);
		}
		Tasks.join(threads, 10_000);
		int twice = 0;
		for (Map.Entry<String, Queue<String>> run : runs.entrySet()) {
			if (run.getValue().size() > 1) {
				twice++;
				scene.record.line("TWICE: payment %s ran at %s", run.getKey(), run.getValue());
			}
		}
		broken.forEach((text) -> scene.record.line("%s", text));
		long refused = broken.stream().filter((text) -> text.startsWith("REFUSED")).count();
		long mixed = broken.stream().filter((text) -> text.startsWith("MIXED")).count();
		scene.record.result(
				"payments %d, runs %d, refusals of engines %d, second copies begun %d; ran twice %d, refused though they ran %d, other status or seal %d",
				calls.get(), runs.size(), refusals.get(), garbled.get(), twice, refused, mixed);
		if (runs.size() < 1_000 || (scene.trouble && garbled.get() == 0)) {
			throw new IllegalStateException("Too little was played");
		}
		return twice > 0;
	}

	private static void pay(Scene scene, Gateway gateway, long until, AtomicInteger calls, Queue<String> broken) {
		try (Caller caller = new Caller(gateway.callers())) {
			while (System.nanoTime() < until) {
				Tasks.sleep(ThreadLocalRandom.current().nextInt(PAUSE_MILLIS));
				String id = Caller.newId();
				calls.incrementAndGet();
				Caller.Answer answer = caller.call("POST", "/pay/deposit", id, TIME_LIMIT_MILLIS, "",
						("deposit " + id).getBytes());
				scene.record.line("payment %s: %s", id, answer);
				check(id, answer, broken);
			}
		}
	}

	private static void check(String id, Caller.Answer answer, Queue<String> broken) {
		Queue<String> ran = runs.getOrDefault(id, new ConcurrentLinkedQueue<>());
		if (List.of(408, 421, 429, 503).contains(answer.status()) && !ran.isEmpty()) {
			broken.add("REFUSED: payment " + id + " ran at " + ran + " and was answered " + answer);
		}
		boolean success = answer.status() / 100 == 2;
		boolean sealed = !answer.seal().isEmpty();
		if ((success || sealed) && answer.whole()
				&& ran.stream().noneMatch((run) -> run.equals(answer.status() + " " + answer.seal()))) {
			broken.add("MIXED: payment " + id + " ran at " + ran + " and was answered " + answer);
		}
	}

	private static void handle(Scene scene, Engine.Exchange exchange, boolean affected) throws IOException {
		Engine engine = exchange.engine();
		String id = exchange.request().id();
		int before = engine.running.getAndIncrement();
		byte[] head;
		byte[] body = new byte[0];
		try {
			if (before >= SLOTS + QUEUE) {
				refusals.incrementAndGet();
				scene.record.line("engine %s refuses payment %s on connection %d", engine.id, id,
						exchange.connection().getPort());
				head = exchange.head("503 Service Unavailable", "X-Ebonyford-Not-Executed: 1\r\n", 0);
			}
			else {
				String seal = "seal-" + engine.id + "-" + id;
				boolean fails = ThreadLocalRandom.current().nextDouble() < 0.004;
				runs.computeIfAbsent(id, (key) -> new ConcurrentLinkedQueue<>())
					.add((fails ? "500 " : "200 ") + seal);
				scene.record.line("engine %s runs payment %s on connection %d", engine.id, id, exchange.connection().getPort());
				Tasks.sleep((before < SLOTS ? 1 : 2) * ThreadLocalRandom.current().nextLong(2 * WORK_MILLIS));
				body = ("paid " + id).getBytes();
				head = exchange.head(fails ? "500 Internal Server Error" : "200 OK", exchange.seal(), body.length);
			}
		}
		finally {
			engine.running.decrementAndGet();
		}
		byte[] whole = Arrays.copyOf(head, head.length + body.length);
		System.arraycopy(body, 0, whole, head.length, body.length);
		exchange.out().write(whole);
		exchange.out().flush();
		if (affected && faulty && ThreadLocalRandom.current().nextDouble() < GARBLED) {
			garbled.incrementAndGet();
			scene.record.line("engine %s sends on connection %d %d bytes of a second copy of its answer to %s: %s", engine.id,
					exchange.connection().getPort(), TORN_BYTES,
					id, new String(whole, 0, 30).replace("\r\n", " | "));
			exchange.out().write(whole, 0, Math.min(TORN_BYTES, whole.length));
			exchange.out().flush();
		}
	}

}
