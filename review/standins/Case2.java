import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The entry of an engine is removed and the store deletes old records before the gateways have read that. Checks that
 * no payment reaches the engine later than the bound after the removal.
 */
final class Case2 {

	private static final int GATEWAYS = 6;

	private static final int PAYMENTS = 8;

	private static final int ROUNDS = 6;

	private static final long DRAIN_MILLIS = 2_000;

	/** The engine goes on serving for a little longer than the bound, and then exits. */
	private static final long SERVES_MILLIS = 3_500;

	private static final long WORK_MILLIS = 400;

	private static final long TIME_LIMIT_MILLIS = 1_500;

	private static volatile String gone = "";

	private static volatile long goneAt;

	private static final Queue<String> late = new ConcurrentLinkedQueue<>();

	public static void main(String[] arguments) {
		Scene.main(arguments, Case2::play);
	}

	private static boolean play(Scene scene) throws Exception {
		scene.configure(7, Scene.route("pay", "/pay/", "non_idempotent", "booking-core", TIME_LIMIT_MILLIS, 1, false),
				Scene.service("booking-core", 96), Scene.tenant("hule930", Caller.KEY));
		List<Engine> engines = new ArrayList<>();
		for (int number = 0; number <= ROUNDS; number++) {
			engines.add(engine(scene, number));
		}
		List<Gateway> gateways = new ArrayList<>();
		for (int number = 1; number <= GATEWAYS; number++) {
			gateways.add(scene.gateway("front-" + number, "kz-south-" + "abc".charAt(number % 3)));
		}
		gateways.forEach(Gateway::awaitReady);
		Tasks.sleep(8_000);
		AtomicInteger paid = new AtomicInteger();
		Queue<String> lost = new ConcurrentLinkedQueue<>();
		for (int round = 1; round <= ROUNDS; round++) {
			Engine leaving = engines.get(round);
			leaving.deregister(scene.trouble);
			goneAt = System.nanoTime();
			gone = leaving.id;
			Tasks.sleep(DRAIN_MILLIS + 1_000);
			List<Thread> threads = new ArrayList<>();
			for (Gateway gateway : gateways) {
				for (int number = 0; number < PAYMENTS; number++) {
					threads.add(Tasks.start("caller", () -> pay(scene, gateway, paid, lost)));
				}
			}
			Tasks.sleep(SERVES_MILLIS - (System.nanoTime() - goneAt) / 1_000_000);
			scene.record.line("engine %s exits", leaving.id);
			leaving.close();
			Tasks.join(threads, 5_000);
			Tasks.sleep(2_000);
		}
		late.forEach((text) -> scene.record.line("DRAIN: %s", text));
		lost.forEach((text) -> scene.record.line("no answer of an engine: %s", text));
		scene.record.result(
				"payments answered %d, reached an engine over %d ms after its removal %d, answered 502 or not at all %d",
				paid.get(), DRAIN_MILLIS, late.size(), lost.size());
		return !late.isEmpty();
	}

	private static Engine engine(Scene scene, int number) throws IOException {
		return scene.engine("i-b" + number, "booking-core", "kz-south-a", 24, (exchange) -> {
			Engine engine = exchange.engine();
			String id = exchange.request().id();
			scene.record.line("engine %s runs payment %s", engine.id, id);
			long since = (System.nanoTime() - goneAt) / 1_000_000;
			if (engine.id.equals(gone) && since > DRAIN_MILLIS) {
				late.add("payment " + id + " reached engine " + engine.id + " " + since + " ms after its removal");
			}
			engine.running.incrementAndGet();
			Tasks.sleep(WORK_MILLIS);
			engine.running.decrementAndGet();
			exchange.send("200 OK", exchange.seal(), ("paid " + id).getBytes());
		});
	}

	private static void pay(Scene scene, Gateway gateway, AtomicInteger paid, Queue<String> lost) {
		try (Caller caller = new Caller(gateway.callers())) {
			String id = Caller.newId();
			Caller.Answer answer = caller.call("POST", "/pay/deposit", id, TIME_LIMIT_MILLIS, "",
					("deposit " + id).getBytes());
			scene.record.line("payment %s: %s", id, answer);
			paid.incrementAndGet();
			if (answer.status() == 502 || answer.status() <= 0) {
				lost.add("payment " + id + ": " + answer);
			}
		}
	}

}
