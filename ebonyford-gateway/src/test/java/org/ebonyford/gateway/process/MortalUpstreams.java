package org.ebonyford.gateway.process;

import java.io.Closeable;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.gateway.store.StoreTopic;

/**
 * Upstreams of a service that end when they begin a certain request, and come back under
 * another identifier.
 */
final class MortalUpstreams implements Closeable {

	/**
	 * What the path or a header of a request holds under which an upstream ends.
	 */
	static final String FATAL = "fatal";

	private static final long AWAY_MILLIS = 250;

	private final FakeStore store;

	private final String service;

	private final long workMillis;

	private final AtomicInteger starts = new AtomicInteger();

	private final List<Long> fatalArrivals = new CopyOnWriteArrayList<>();

	private final AtomicInteger ended = new AtomicInteger();

	private final Map<String, FakeUpstream> living = new LinkedHashMap<>();

	private volatile boolean closed;

	MortalUpstreams(FakeStore store, String service, int count, long workMillis) throws IOException {
		this.store = store;
		this.service = service;
		this.workMillis = workMillis;
		for (int index = 0; index < count; index++) {
			begin();
		}
	}

	/**
	 * Returns how often the fatal request arrived at an upstream.
	 */
	int fatalArrivals() {
		return this.fatalArrivals.size();
	}

	/**
	 * Returns when the fatal request arrived at an upstream, in milliseconds.
	 */
	List<Long> fatalArrivalTimes() {
		return List.copyOf(this.fatalArrivals);
	}

	/**
	 * Returns how many upstreams have ended.
	 */
	int ended() {
		return this.ended.get();
	}

	/**
	 * Ends an upstream for no reason of a request.
	 */
	void endOne() throws IOException {
		Map.Entry<String, FakeUpstream> oldest;
		synchronized (this) {
			oldest = this.living.entrySet().iterator().next();
		}
		end(oldest.getValue(), oldest.getKey());
	}

	@Override
	public synchronized void close() throws IOException {
		this.closed = true;
		for (FakeUpstream upstream : this.living.values()) {
			upstream.close();
		}
	}

	private synchronized void begin() throws IOException {
		String id = this.service + "-" + this.starts.incrementAndGet();
		AtomicReference<FakeUpstream> self = new AtomicReference<>();
		FakeUpstream upstream = new FakeUpstream((request, out, connection) -> {
			if (request.contains(FATAL)) {
				this.fatalArrivals.add(System.nanoTime() / 1_000_000);
				end(self.get(), id);
				return;
			}
			sleep(this.workMillis);
			Script.ok("whole").answer(request, out, connection);
		});
		self.set(upstream);
		this.living.put(id, upstream);
		this.store.write(StoreTopic.UPSTREAMS, id, this.service + " " + upstream.port() + " dc1 false");
	}

	private void end(FakeUpstream upstream, String id) throws IOException {
		synchronized (this) {
			if (this.living.remove(id) == null) {
				return;
			}
		}
		this.ended.incrementAndGet();
		upstream.crash();
		FakeUpstream.thread(() -> {
			sleep(AWAY_MILLIS);
			this.store.write(StoreTopic.UPSTREAMS, id, null);
			if (!this.closed) {
				try {
					begin();
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
			}
		});
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
