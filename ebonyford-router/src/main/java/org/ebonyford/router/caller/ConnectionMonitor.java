package org.ebonyford.router.caller;

import java.io.IOException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Finds callers that left while their request waits, and callers that write or read too
 * slowly. The servlet container reads nothing from a connection while a request on it is
 * being handled, so it can't tell that the caller has closed it. One thread serves all
 * connections.
 */
final class ConnectionMonitor implements AutoCloseable {

	/**
	 * The milliseconds between two searches.
	 */
	private final long sweepMillis;

	/**
	 * The milliseconds for which a caller may read nothing.
	 */
	private final long slowReaderMillis;

	/**
	 * The answers that have not ended.
	 */
	private final Set<ServletAnswer> answers = ConcurrentHashMap.newKeySet();

	/**
	 * Watches the connections of waiting callers.
	 */
	private final Selector selector;

	/**
	 * Creates a monitor and starts its thread.
	 * @param settings the bounds on callers
	 * @throws IOException if connections can't be watched
	 */
	ConnectionMonitor(CallerSettings settings) throws IOException {
		this.sweepMillis = settings.sweepMillis();
		this.slowReaderMillis = settings.slowReaderMillis();
		this.selector = Selector.open();
		Thread thread = new Thread(this::run, "caller-monitor");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Begins to watch the connection of an answer.
	 * @param answer the answer
	 */
	void add(ServletAnswer answer) {
		this.answers.add(answer);
	}

	@Override
	public void close() throws IOException {
		this.selector.close();
	}

	private void run() {
		while (this.selector.isOpen()) {
			try {
				this.selector.select((key) -> check(key), this.sweepMillis);
				sweep();
			}
			catch (ClosedSelectorException | IOException ex) {
				// The monitor is closed, or the next round tries again.
				continue;
			}
		}
	}

	private static void check(SelectionKey key) {
		ServletAnswer answer = (ServletAnswer) key.attachment();
		if (answer.watch().isGone()) {
			answer.leave();
		}
	}

	private void sweep() {
		for (ServletAnswer answer : this.answers) {
			if (answer.isEnded()) {
				this.answers.remove(answer);
			}
			else if (answer.isStalled(this.slowReaderMillis)) {
				answer.leave();
			}
			else {
				answer.attend(this.selector);
			}
		}
	}

}
