package org.ebonyford.emulator.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Relays in front of all places that connections go to. A cut lets connections stand as a
 * real one does: nothing passes, nobody is told, and what waits passes once it heals.
 */
public final class Network implements AutoCloseable {

	/**
	 * How long a cut or its heal takes to be in force at most, in seconds.
	 */
	private static final int REFRESH_SECONDS = 60;

	/**
	 * The threads that look up who opened a connection.
	 */
	private static final int LOOK_UP_THREADS = 4;

	/**
	 * The seconds after which a thread ends that has nothing to look up.
	 */
	private static final long IDLE_SECONDS = 10;

	/**
	 * Tells who opened a connection.
	 */
	private final ConnectionOwner owner;

	/**
	 * Runs the look-ups of who opened a connection, which take long on a busy machine.
	 */
	private final Executor lookUps;

	/**
	 * The selector of all connections.
	 */
	private final Selector selector;

	/**
	 * What is to be done on the selector's thread.
	 */
	private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	/**
	 * The pairs of a source and a target between which nothing passes.
	 */
	private final Set<Cut> cuts = ConcurrentHashMap.newKeySet();

	/**
	 * The addresses behind the relays by the names of the targets.
	 */
	private final Map<String, String> targets = new ConcurrentHashMap<>();

	/**
	 * The open connections, used on the selector's thread only.
	 */
	private final Set<Tunnel> tunnels = new HashSet<>();

	/**
	 * The bytes that passed between a source and a target, in both directions.
	 */
	private final Map<Cut, Long> bytes = new ConcurrentHashMap<>();

	/**
	 * Whether the network is closed.
	 */
	private volatile boolean closed;

	/**
	 * Starts a network without relays.
	 * @param owner tells who opened a connection
	 */
	public Network(ConnectionOwner owner) {
		this(owner, threads());
	}

	/**
	 * Starts a network without relays.
	 * @param owner tells who opened a connection
	 * @param lookUps runs the look-ups of who opened a connection
	 */
	Network(ConnectionOwner owner, Executor lookUps) {
		this.owner = owner;
		this.lookUps = lookUps;
		try {
			this.selector = Selector.open();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		daemon(this::run).start();
	}

	/**
	 * Puts a relay in front of a target.
	 * @param target the name of the target
	 * @param address the host and port of the target
	 * @return the host and port of the relay
	 */
	public String relay(String target, String address) {
		this.targets.put(target, address);
		try {
			ServerSocketChannel server = ServerSocketChannel.open();
			server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
			server.configureBlocking(false);
			execute(() -> register(server, target));
			return "127.0.0.1:" + ((InetSocketAddress) server.getLocalAddress()).getPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Changes where a target is. Open connections stay.
	 * @param target the name of the target
	 * @param address the host and port of the target
	 */
	public void move(String target, String address) {
		this.targets.put(target, address);
	}

	/**
	 * Cuts a source from a target. Nothing that is sent after the return passes.
	 * @param source the name of the source
	 * @param target the name of the target
	 */
	public void cut(String source, String target) {
		this.cuts.add(new Cut(source, target));
		complete(this::refresh);
	}

	/**
	 * Heals the cut of a source from a target. What waited has passed on its way at the
	 * return.
	 * @param source the name of the source
	 * @param target the name of the target
	 */
	public void heal(String source, String target) {
		this.cuts.remove(new Cut(source, target));
		complete(this::refresh);
	}

	/**
	 * Heals all cuts.
	 */
	public void healAll() {
		this.cuts.clear();
		complete(this::refresh);
	}

	/**
	 * Returns the bytes that passed between some sources and targets.
	 * @param counted tells whether the bytes between a source and a target count
	 * @return the bytes in both directions
	 */
	public long bytes(BiPredicate<String, String> counted) {
		return this.bytes.entrySet()
			.stream()
			.filter((entry) -> counted.test(entry.getKey().source(), entry.getKey().target()))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

	@Override
	public void close() {
		this.closed = true;
		this.selector.wakeup();
	}

	private void complete(Runnable task) {
		CompletableFuture<Void> done = CompletableFuture.runAsync(task, this::execute);
		done.orTimeout(REFRESH_SECONDS, TimeUnit.SECONDS).join();
	}

	private void execute(Runnable task) {
		this.tasks.add(task);
		this.selector.wakeup();
	}

	private void register(ServerSocketChannel server, String target) {
		try {
			server.register(this.selector, SelectionKey.OP_ACCEPT, target);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void run() {
		try {
			while (!this.closed) {
				this.selector.select(this::handle);
				for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
					task.run();
				}
			}
			for (SelectionKey key : List.copyOf(this.selector.keys())) {
				key.channel().close();
			}
			this.selector.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void handle(SelectionKey key) {
		if (!key.isValid()) {
			return;
		}
		if (key.isAcceptable()) {
			accept((ServerSocketChannel) key.channel(), (String) key.attachment());
			return;
		}
		Tunnel tunnel = (Tunnel) key.attachment();
		tunnel.pump();
		if (tunnel.closed()) {
			this.tunnels.remove(tunnel);
		}
	}

	private void accept(ServerSocketChannel server, String target) {
		try {
			SocketChannel client = server.accept();
			if (client != null) {
				this.lookUps.execute(() -> lookUp(client, target));
			}
		}
		catch (IOException ex) {
			return;
		}
	}

	private void lookUp(SocketChannel client, String target) {
		try {
			Optional<String> source = this.owner.of((InetSocketAddress) client.getRemoteAddress(),
					(InetSocketAddress) client.getLocalAddress());
			execute(() -> open(client, new Cut(source.orElse(""), target)));
		}
		catch (IOException ex) {
			Tunnel.reset(client);
		}
	}

	private void open(SocketChannel client, Cut ends) {
		try {
			SocketChannel behind = SocketChannel.open(address(this.targets.get(ends.target())));
			Tunnel tunnel = new Tunnel(ends, client, behind, this.selector,
					(passed) -> this.bytes.merge(ends, passed, Long::sum));
			this.tunnels.add(tunnel);
			tunnel.hold(this.cuts.contains(tunnel.ends()));
		}
		catch (IOException ex) {
			Tunnel.reset(client);
		}
	}

	private void refresh() {
		for (Tunnel tunnel : new ArrayList<>(this.tunnels)) {
			tunnel.hold(this.cuts.contains(tunnel.ends()));
			if (tunnel.closed()) {
				this.tunnels.remove(tunnel);
			}
		}
	}

	private static Executor threads() {
		ThreadPoolExecutor threads = new ThreadPoolExecutor(LOOK_UP_THREADS, LOOK_UP_THREADS, IDLE_SECONDS,
				TimeUnit.SECONDS, new LinkedBlockingQueue<>(), Network::daemon);
		threads.allowCoreThreadTimeOut(true);
		return threads;
	}

	private static Thread daemon(Runnable task) {
		Thread thread = new Thread(task, "network");
		thread.setDaemon(true);
		return thread;
	}

	private static InetSocketAddress address(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	/**
	 * A source and a target between which nothing passes.
	 *
	 * @param source the name of the source
	 * @param target the name of the target
	 */
	record Cut(String source, String target) {

	}

}
