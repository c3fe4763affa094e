/** Threads that end with the process. */
final class Tasks {

	private Tasks() {
	}

	static Thread start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(millis, 0));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void join(Iterable<Thread> threads, long millis) {
		long until = System.nanoTime() + millis * 1_000_000;
		for (Thread thread : threads) {
			try {
				thread.join(Math.max(1, (until - System.nanoTime()) / 1_000_000));
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

}
