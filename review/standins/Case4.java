import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers with slow links are still receiving large answers when their gateway has been told to stop. Checks that
 * they get them whole.
 */
final class Case4 {

	private static final int CALLERS = 4;

	private static final int REPORT_BYTES = 4_190_000;

	private static final long TIME_LIMIT_MILLIS = 15_000;

	/** The rate of the consumers' links in bytes per millisecond. */
	private static final int BYTES_PER_MILLI = 700;

	private static final int RECEIVE_BUFFER = 65_536;

	/** How long after the SIGTERM the consumers send their last request on their open connections. */
	private static final long REQUEST_AFTER_MILLIS = 1_200;

	private static final AtomicInteger runs = new AtomicInteger();

	public static void main(String[] arguments) {
		Scene.main(arguments, Case4::play);
	}

	private static boolean play(Scene scene) throws Exception {
		scene.configure(7, Scene.route("read", "/read/", "idempotent", "booking-core", TIME_LIMIT_MILLIS, 2, false),
				Scene.service("booking-core", 96), Scene.tenant("hule930", Caller.KEY));
		for (int number = 1; number <= 2; number++) {
			scene.engine("i-b" + number, "booking-core", "kz-south-a", 6, (exchange) -> handle(scene, exchange));
		}
		Gateway gateway = scene.gateway("front-1", "kz-south-a");
		gateway.awaitReady();
		Tasks.sleep(4_000);
		Queue<String> lost = new ConcurrentLinkedQueue<>();
		AtomicInteger complete = new AtomicInteger();
		List<Caller> callers = new ArrayList<>();
		for (int number = 0; number < CALLERS; number++) {
			Caller caller = new Caller(gateway.callers(), RECEIVE_BUFFER);
			callers.add(caller);
			scene.record.line("first request on each connection: %s",
					caller.call("GET", "/read/small", Caller.newId(), TIME_LIMIT_MILLIS, "", new byte[0]));
		}
		long stopsAt = System.nanoTime();
		if (scene.trouble) {
			gateway.terminate();
		}
		Tasks.sleep(REQUEST_AFTER_MILLIS);
		List<Thread> threads = new ArrayList<>();
		for (Caller caller : callers) {
			threads.add(Tasks.start("caller", () -> read(scene, caller, lost, complete)));
		}
		Tasks.join(threads, 20_000);
		if (scene.trouble) {
			gateway.awaitEnd(8_000 - (System.nanoTime() - stopsAt) / 1_000_000);
		}
		lost.forEach((text) -> scene.record.line("LOST: %s", text));
		scene.record.result("large answers asked for %d, run %d, whole %d, cut %d", CALLERS, runs.get(),
				complete.get(), lost.size());
		if (complete.get() + lost.size() < CALLERS) {
			throw new IllegalStateException("Not all requests were sent on the connections that were open");
		}
		return !lost.isEmpty();
	}

	private static void read(Scene scene, Caller caller, Queue<String> lost, AtomicInteger complete) {
		String id = Caller.newId();
		try {
			caller.send("GET", "/read/report", id, TIME_LIMIT_MILLIS, "", new byte[0]);
			scene.record.line("request %s is sent", id);
			InputStream in = caller.connect().getInputStream();
			String status = Http.line(in);
			Map<String, String> headers = Http.headers(in);
			int length = Integer.parseInt(headers.get("Content-Length"));
			long startedAt = System.nanoTime();
			int read = 0;
			byte[] buffer = new byte[16_384];
			while (read < length) {
				int count;
				try {
					count = in.read(buffer, 0, Math.min(buffer.length, length - read));
				}
				catch (IOException ex) {
					scene.record.line("request %s: %s", id, ex);
					count = -1;
				}
				if (count < 0) {
					break;
				}
				read += count;
				Tasks.sleep(read / BYTES_PER_MILLI - (System.nanoTime() - startedAt) / 1_000_000);
			}
			scene.record.line("request %s: %s, %d of %d bytes", id, status, read, length);
			if (status.contains(" 200") && read == length) {
				complete.incrementAndGet();
			}
			else {
				lost.add("request " + id + " was answered '" + status + "' with " + read + " of " + length + " bytes");
			}
		}
		catch (IOException ex) {
			scene.record.line("request %s: %s", id, ex);
		}
	}

	private static void handle(Scene scene, Engine.Exchange exchange) throws IOException {
		scene.record.line("engine %s runs %s %s", exchange.engine().id, exchange.request().id(),
				exchange.request().uri());
		boolean report = exchange.request().uri().equals("/read/report");
		runs.addAndGet(report ? 1 : 0);
		Tasks.sleep(15);
		exchange.send("200 OK", exchange.seal(), new byte[report ? REPORT_BYTES : 800]);
	}

}
