package org.ebonyford.benchmark.claim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.ebonyford.claim.ClaimListener;
import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.claim.ClaimSettings;
import org.ebonyford.claim.ClaimTable;
import org.ebonyford.claim.Claims;
import org.ebonyford.claim.WriterOrder;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.event.Event.AppendEnded.Result;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.VmId;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Request;
import org.ebonyford.request.StoredAnswer;

/**
 * Simulates routers that claim keys over one log in memory with the delays of a service
 * in the same region, and prints what a claim costs. Time is simulated; only the
 * processor time of the decisions is real.
 */
public final class ClaimCost {

	/**
	 * The milliseconds that are simulated for each line.
	 */
	private static final long DURATION_MILLIS = 20_000;

	/**
	 * The milliseconds between two ticks of a router.
	 */
	private static final long TICK_MILLIS = 10;

	/**
	 * The milliseconds from an append to its place in the log.
	 */
	private static final long APPEND_MILLIS = 2;

	/**
	 * The milliseconds from a record's place in the log or the end of an append to the
	 * router that is told.
	 */
	private static final long RETURN_MILLIS = 2;

	/**
	 * The milliseconds that a message takes from one router to another.
	 */
	private static final long MESSAGE_MILLIS = 1;

	/**
	 * The data centre of all routers.
	 */
	private static final DataCentreId DATA_CENTRE = new DataCentreId("kz-south-a");

	/**
	 * The milliseconds that a request runs.
	 */
	private static final long RUN_MILLIS = 40;

	/**
	 * The keys whose memory is measured.
	 */
	private static final int MEMORY_KEYS = 100_000;

	/**
	 * The events that are due, the earliest first.
	 */
	private final PriorityQueue<Due> due = new PriorityQueue<>(
			Comparator.comparingLong(Due::at).thenComparingLong(Due::order));

	/**
	 * The claims of each router.
	 */
	private final List<Router> routers = new ArrayList<>();

	/**
	 * The milliseconds that each request waited for its claim.
	 */
	private final List<Long> waits = new ArrayList<>();

	/**
	 * The simulated time in milliseconds.
	 */
	private long now;

	/**
	 * The number of the next event.
	 */
	private long order;

	/**
	 * The records in the log.
	 */
	private long end;

	private ClaimCost() {
	}

	/**
	 * Runs the simulations.
	 * @param arguments unused
	 */
	public static void main(String[] arguments) {
		System.out.println(
				"writers       routers  claims/s each  batch ms  appends/s all   claims/append  added p50 ms  p99 ms  "
						+ "processor us/claim");
		for (long batchMillis : new long[] { 1, 20, 50, 100 }) {
			for (int rate : new int[] { 5, 20, 100, 1_000 }) {
				new ClaimCost().run(WriterOrder.Disabled.INSTANCE, 3, rate, batchMillis);
			}
		}
		long standard = ClaimSettings.DEFAULT.batchMillis();
		for (WriterOrder order : List.of(WriterOrder.Disabled.INSTANCE, WriterOrder.ForRendezvousHash.INSTANCE)) {
			new ClaimCost().run(order, 2, 15, standard);
			new ClaimCost().run(order, 2, 45, standard);
			new ClaimCost().run(order, 7, 300, standard);
			new ClaimCost().run(order, 49, 13, standard);
		}
		memory();
	}

	private void run(WriterOrder order, int count, int rate, long batchMillis) {
		ClaimSettings settings = settings(batchMillis);
		for (int index = 0; index < count; index++) {
			this.routers.add(new Router(index, settings));
		}
		List<VmId> writers = order.of(DATA_CENTRE, this.routers.stream().map((router) -> router.self.vm()).toList());
		this.routers.forEach((router) -> router.claims.writers(0, writers, router.outbox));
		Random random = new Random(1);
		for (Router router : this.routers) {
			router.read(List.of());
			double at = 0;
			for (int number = 0; at < DURATION_MILLIS; number++) {
				int request = number;
				at += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
				at((long) at, () -> router.begin(request));
			}
			for (long tick = 0; tick < 2 * DURATION_MILLIS; tick += TICK_MILLIS) {
				at(tick, router::tick);
			}
		}
		long start = System.nanoTime();
		while (!this.due.isEmpty()) {
			Due next = this.due.remove();
			this.now = next.at();
			next.action().run();
		}
		print(writers.isEmpty() ? "each" : "one", count, rate, batchMillis, System.nanoTime() - start);
	}

	private static ClaimSettings settings(long batchMillis) {
		ClaimSettings base = ClaimSettings.DEFAULT;
		return new ClaimSettings(base.windowMillis(), base.graceMillis(), base.retentionMillis(),
				base.restateJitterMillis(), base.settleMillis(), batchMillis, base.batchRecords(),
				base.batchCharacters(), base.patienceMillis(), base.retryMillis(), base.handOverMillis(),
				base.queryMillis(), base.joinMillis(), base.retryAfterMillis(), 10 * base.maxKeys(),
				10 * base.maxKeys(), base.maxWaiting(), base.maxAnswerCharacters());
	}

	private void print(String writers, int count, int rate, long batchMillis, long nanos) {
		long[] sorted = this.waits.stream().mapToLong(Long::longValue).sorted().toArray();
		double appends = this.routers.stream().mapToLong((router) -> router.claims.appends()).sum();
		System.out.printf("%7s  %11d  %13d  %8d  %14.1f  %13.1f  %12d  %6d  %18.1f%n", writers, count, rate,
				batchMillis, appends * 1_000 / DURATION_MILLIS, sorted.length / appends, percentile(sorted, 50),
				percentile(sorted, 99), nanos / 1e3 / sorted.length);
	}

	private static long percentile(long[] sorted, int percent) {
		return sorted[Math.min(sorted.length - 1, sorted.length * percent / 100)];
	}

	private void at(long time, Runnable action) {
		this.due.add(new Due(time, this.order++, action));
	}

	private void append(Router router, Effect.AppendClaims append) {
		at(this.now + APPEND_MILLIS, () -> {
			this.end++;
			this.routers.forEach((reader) -> at(this.now + RETURN_MILLIS, () -> reader.read(append.records())));
			at(this.now + RETURN_MILLIS, () -> router.appended(append.append()));
		});
	}

	private void deliver(Router from, Effect.ToPeer message) {
		this.routers.stream()
			.filter((router) -> router.self.vm().equals(message.to()))
			.forEach((router) -> at(this.now + MESSAGE_MILLIS, () -> router.received(from.self, message.message())));
	}

	private static void memory() {
		ClaimTable table = new ClaimTable(Long.MAX_VALUE / 2, ClaimSettings.DEFAULT.maxAnswerCharacters());
		long before = used();
		for (int number = 0; number < MEMORY_KEYS; number++) {
			table.apply(record(number), 0);
		}
		System.out.printf("memory of one key without an answer: %d bytes (%d keys)%n", (used() - before) / MEMORY_KEYS,
				table.size());
	}

	private static ClaimRecord record(int number) {
		return new ClaimRecord(ClaimRecord.Kind.RAN, "kz-south-a-entry-1-1764806400000-" + number,
				new OrganisationId("organisation-" + number % 16),
				new IdempotencyKey("7f9c2ba4-e88f-4cd4-9fd1-" + (100_000_000 + number)),
				new Fingerprint("ab".repeat(28) + (10_000_000 + number)),
				new Incarnation(new VmId("kz-south-a-entry-" + number % 7), 1_764_806_400_000L), number,
				Optional.empty());
	}

	private static long used() {
		for (int round = 0; round < 5; round++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * Something that happens at a time.
	 *
	 * @param at the simulated time in milliseconds
	 * @param order the number among all events
	 * @param action what happens
	 */
	private record Due(long at, long order, Runnable action) {

	}

	/**
	 * One router.
	 */
	private final class Router implements ClaimListener {

		/**
		 * The name of the router.
		 */
		private final String name;

		/**
		 * The process of the router.
		 */
		private final Incarnation self;

		/**
		 * The claims of the router.
		 */
		private final Claims claims;

		/**
		 * The effects that are to be carried out.
		 */
		private final Outbox outbox = new Outbox();

		/**
		 * The simulated time in milliseconds at which each request came.
		 */
		private final Map<RequestId, Long> begun = new HashMap<>();

		private Router(int index, ClaimSettings settings) {
			this.name = "kz-south-a-entry-" + index;
			this.self = new Incarnation(new VmId(this.name), 1);
			this.claims = new Claims(settings, this.self, this);
		}

		private void begin(int number) {
			RequestId id = new RequestId(this.name + "-" + number);
			this.begun.put(id, ClaimCost.this.now);
			this.claims.begin(ClaimCost.this.now, ClaimCost.this.now,
					new Request(id, new OrganisationId("organisation-" + number % 16), new PoolId("booking-core"),
							new RequestClass("booking"), 1, Long.MAX_VALUE, Optional.of(new IdempotencyKey(id.value())),
							new Fingerprint(id.value())),
					this.outbox);
			drain();
		}

		private void tick() {
			this.claims.tick(ClaimCost.this.now, ClaimCost.this.now, this.outbox);
			drain();
		}

		private void read(List<ClaimRecord> records) {
			this.claims.read(
					new Event.ClaimsRead(ClaimCost.this.now, 0, ClaimCost.this.end, ClaimCost.this.end, records),
					this.outbox);
			drain();
		}

		private void received(Incarnation from, PeerMessage message) {
			this.claims.received(ClaimCost.this.now, from, message, this.outbox);
			drain();
		}

		private void appended(long append) {
			this.claims.appendEnded(ClaimCost.this.now, append, Result.APPENDED, this.outbox);
			drain();
		}

		private void end(RequestId id) {
			this.claims.ended(ClaimCost.this.now, id, Ending.COMPLETED,
					Optional.of(new StoredAnswer(201, "application/json", "{}")), this.outbox);
			drain();
		}

		private void drain() {
			for (Effect effect : this.outbox.drain()) {
				if (effect instanceof Effect.AppendClaims append) {
					append(this, append);
				}
				else if (effect instanceof Effect.ToPeer message) {
					deliver(this, message);
				}
			}
		}

		@Override
		public void held(long time, Request request, Outbox effects) {
			ClaimCost.this.waits.add(time - this.begun.remove(request.id()));
			this.claims.sending(time, request.id());
			at(time + RUN_MILLIS, () -> end(request.id()));
		}

		@Override
		public void suspended(long time, Request request, Outbox effects) {
			throw new IllegalStateException("Nothing pauses here: " + Arrays.asList(request));
		}

	}

}
