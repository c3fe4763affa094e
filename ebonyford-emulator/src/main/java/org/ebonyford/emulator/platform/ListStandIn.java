package org.ebonyford.emulator.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.fault.Faults;
import org.ebonyford.emulator.http.Exchange;
import org.ebonyford.emulator.http.HttpListener;
import org.ebonyford.emulator.http.Json;
import org.ebonyford.emulator.standin.StandIn;

/**
 * The platform's list of VMs, which shows every change with a lag.
 */
public final class ListStandIn implements StandIn {

	/**
	 * The name of the stand-in.
	 */
	private final String name;

	/**
	 * The milliseconds after which a change shows.
	 */
	private final long lagMillis;

	/**
	 * The faults that are switched on.
	 */
	private final Faults faults = new Faults();

	/**
	 * Shows changes once the lag has passed.
	 */
	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "list");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * The listener for calls.
	 */
	private final HttpListener listener;

	/**
	 * The list as it is.
	 */
	private VmList current = new VmList(0, List.of(), List.of());

	/**
	 * The list as it shows.
	 */
	private volatile VmList shown = this.current;

	/**
	 * Starts a list.
	 * @param name the name of the stand-in
	 * @param port the port to listen on, or 0 to let the system choose one
	 * @param lagMillis the milliseconds after which a change shows
	 */
	public ListStandIn(String name, int port, long lagMillis) {
		this.name = name;
		this.lagMillis = lagMillis;
		this.listener = HttpListener.listen(port, this::accept);
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public String address() {
		return this.listener.address();
	}

	@Override
	public Faults faults() {
		return this.faults;
	}

	@Override
	public synchronized Object truth(boolean detailed) {
		return this.current;
	}

	@Override
	public synchronized void order(String order, byte[] body) {
		if (!order.equals("vms")) {
			throw new IllegalArgumentException("The list knows no order " + order);
		}
		VmList wanted = Json.read(body, VmList.class);
		VmList next = new VmList(this.current.revision() + 1, wanted.vms(), wanted.upstreams());
		this.current = next;
		this.scheduler.schedule(() -> show(next), this.lagMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.listener.close();
		this.scheduler.shutdownNow();
	}

	private void show(VmList next) {
		this.shown = next;
	}

	private void accept(Exchange exchange) {
		if (!exchange.path().equals("/vms")) {
			exchange.answer(404, Map.of());
			return;
		}
		if (exchange.method().equals("PUT")) {
			exchange.body().thenAccept((body) -> {
				order("vms", body);
				exchange.answer(204, Map.of());
			});
			return;
		}
		Optional<Fault> fault = this.faults.strike("list");
		if (fault.isEmpty()) {
			exchange.answer(200, this.shown);
			return;
		}
		strike(exchange, fault.get());
	}

	private void strike(Exchange exchange, Fault fault) {
		switch (fault.kind()) {
			case OUTAGE -> exchange.answer(503, Map.of());
			case SLOW ->
				this.scheduler.schedule(() -> exchange.answer(200, this.shown), fault.millis(), TimeUnit.MILLISECONDS);
			default -> exchange.breakOff();
		}
	}

	/**
	 * The list of VMs and leaving upstreams.
	 *
	 * @param revision a number that grows with every change
	 * @param vms the VMs
	 * @param upstreams the upstreams of which there is something to tell
	 */
	public record VmList(long revision, List<VmLine> vms, List<UpstreamLine> upstreams) {

		/**
		 * Creates a list.
		 */
		public VmList {
			vms = (vms != null) ? List.copyOf(vms) : List.of();
			upstreams = (upstreams != null) ? List.copyOf(upstreams) : List.of();
		}

	}

	/**
	 * One VM.
	 *
	 * @param vm the name of the VM
	 * @param dataCentre the data centre that it stands in
	 * @param address the host and port of its router's own interface
	 * @param state {@code live} or {@code leaving}
	 */
	public record VmLine(String vm, String dataCentre, String address, String state) {

	}

	/**
	 * One upstream.
	 *
	 * @param upstream the name of the upstream
	 * @param state {@code live} or {@code leaving}
	 */
	public record UpstreamLine(String upstream, String state) {

	}

}
