import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Gateways are restarted one after the other. The store carries out some of their
 * withdrawals late, after they have announced themselves again. Then an engine comes back
 * cold under load.
 */
final class LateWithdrawal extends Case {

	private static final int GATEWAYS = 6;

	/**
	 * How many of the withdrawals are carried out late.
	 */
	private static final int LATE = 4;

	/**
	 * The longest time after which the platform carries a late write out.
	 */
	private static final long LATE_MILLIS = 6_000;

	/**
	 * How long a gateway that has withdrawn counts among the others, and a little more.
	 */
	private static final long FORGOTTEN_MILLIS = 21_000;

	private static final double COLD_PER_SECOND = 16;

	private static final double COLD_FACTOR = 1.5;

	private static final double COLD_SLACK = 5;

	private static final long COLD_MILLIS = 3_000;

	private static final int CALLERS_PER_GATEWAY = 8;

	private final AtomicBoolean calling = new AtomicBoolean(true);

	private final AtomicInteger requests = new AtomicInteger();

	private final Map<String, Long> sentAt = new ConcurrentHashMap<>();

	LateWithdrawal() throws IOException {
	}

	public static void main(String[] arguments) throws IOException {
		new LateWithdrawal().run(arguments);
	}

	@Override
	boolean broken() throws Exception {
		configure(1, COLD_PER_SECOND, 2_000);
		Engine warm = use(new Engine("i-1", "items", this.store, this.record, 64, 20)).register(0);
		List<Gateway> gateways = new ArrayList<>();
		for (int number = 1; number <= GATEWAYS; number++) {
			gateways.add(use(new Gateway("gateway-" + number, this.folder, this.store.port(), this.record)).start());
		}
		Store.pause(2_000);
		restart(gateways);
		Store.pause(FORGOTTEN_MILLIS);
		warm.close();
		this.store.write("keyed.servers", "i-1", "");
		this.record.say("engine i-1 is gone");
		for (Gateway gateway : gateways) {
			for (int number = 0; number < CALLERS_PER_GATEWAY; number++) {
				HttpServer.start(() -> call(gateway));
			}
		}
		Store.pause(1_000);
		Engine cold = use(new Engine("i-2", "items", this.store, this.record, 64, 20)).register(COLD_MILLIS);
		Store.pause(COLD_MILLIS);
		this.calling.set(false);
		return most(cold) > COLD_PER_SECOND * COLD_FACTOR + COLD_SLACK;
	}

	private void restart(List<Gateway> gateways) throws IOException {
		Set<String> late = new HashSet<>();
		for (Gateway gateway : gateways) {
			if (this.trouble && late.size() < LATE) {
				late.add(gateway.key());
			}
		}
		this.store.disrupt(new Store.Disruption() {

			@Override
			public Store.Fate fate(HttpMessage call) {
				boolean withdrawal = call.path().equals("/-/log-append") && Store.drops(call);
				if (withdrawal) {
					LateWithdrawal.this.record.add("the store gets the withdrawal of " + Store.key(call)
							+ (late.contains(Store.key(call)) ? " and carries it out late" : ""));
				}
				return (withdrawal && late.remove(Store.key(call))) ? Store.Fate.DONE_LATE : Store.Fate.SERVED;
			}

			@Override
			public long lateMillis() {
				return LATE_MILLIS;
			}

		});
		for (Gateway gateway : gateways) {
			gateway.terminate();
			gateway.start();
			Store.pause(3_000);
		}
	}

	private void call(Gateway gateway) {
		while (this.calling.get()) {
			try (Caller caller = new Caller(gateway.callers())) {
				String id = "r-" + this.requests.incrementAndGet();
				this.sentAt.put(id, System.nanoTime());
				HttpMessage answer = caller.get("/items/1", id, 2_000);
				this.record.add(id + " answered " + ((answer != null) ? answer.status() : "by a close"));
			}
			catch (IOException ex) {
				// The caller tries again.
			}
			Store.pause(40);
		}
	}

	/**
	 * Returns the greatest number of requests that were sent and arrived within a second
	 * while the engine was cold.
	 */
	private int most(Engine engine) {
		List<Engine.Run> runs = engine.runs();
		int most = 0;
		for (Engine.Run first : runs) {
			long from = this.sentAt.get(first.request);
			int count = (int) runs.stream()
				.filter((run) -> this.sentAt.get(run.request) >= from && run.began < from + 1_000_000_000L)
				.count();
			most = Math.max(most, count);
		}
		this.record.say("cold engine " + engine.id() + " got " + most + " requests in one second; allowed "
				+ (COLD_PER_SECOND * COLD_FACTOR + COLD_SLACK));
		return most;
	}

}
