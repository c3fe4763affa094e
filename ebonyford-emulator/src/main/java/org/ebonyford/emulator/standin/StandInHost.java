package org.ebonyford.emulator.standin;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.emulator.fault.Fault;
import org.ebonyford.emulator.http.Exchange;
import org.ebonyford.emulator.http.HttpListener;
import org.ebonyford.emulator.http.Json;

/**
 * Keeps stand-ins of one process and gives tests a port of its own to judge and disturb
 * them, which no fault and no fall ever touches.
 *
 * <ul>
 * <li>{@code GET /{name}/truth} tells what really happened; {@code ?detailed=true} tells
 * every event</li>
 * <li>{@code POST /{name}/faults} switches a fault on; {@code DELETE} switches all
 * off</li>
 * <li>{@code POST /{name}/orders/{order}} carries out an order</li>
 * </ul>
 */
public final class StandInHost implements AutoCloseable {

	/**
	 * The stand-ins by their names.
	 */
	private final Map<String, StandIn> standIns = new LinkedHashMap<>();

	/**
	 * The listener for tests.
	 */
	private final HttpListener listener;

	/**
	 * Starts a host.
	 * @param port the port for tests, or 0 to let the system choose one
	 * @param standIns the stand-ins, which listen already
	 */
	public StandInHost(int port, List<? extends StandIn> standIns) {
		standIns.forEach((standIn) -> this.standIns.put(standIn.name(), standIn));
		this.listener = HttpListener.listen(port, this::accept);
	}

	/**
	 * Returns where everything is reached.
	 * @return the addresses
	 */
	public Addresses addresses() {
		Map<String, String> addresses = new LinkedHashMap<>();
		this.standIns.forEach((name, standIn) -> addresses.put(name, standIn.address()));
		return new Addresses(this.listener.address(), addresses);
	}

	@Override
	public void close() {
		new ArrayList<>(this.standIns.values()).forEach(StandIn::close);
		this.listener.close();
	}

	private void accept(Exchange exchange) {
		exchange.body().thenAccept((body) -> {
			String[] path = exchange.path().split("/");
			StandIn standIn = (path.length > 2) ? this.standIns.get(path[1]) : null;
			if (standIn == null) {
				exchange.answer(404, addresses());
				return;
			}
			try {
				serve(exchange, standIn, path, body);
			}
			catch (IllegalArgumentException | UncheckedIOException ex) {
				exchange.answer(400, Map.of("error", String.valueOf(ex.getMessage())));
			}
		});
	}

	private static void serve(Exchange exchange, StandIn standIn, String[] path, byte[] body) {
		switch (exchange.method() + " " + path[2]) {
			case "GET truth" ->
				exchange.answer(200, standIn.truth(exchange.parameter("detailed").map(Boolean::valueOf).orElse(false)));
			case "GET faults" -> exchange.answer(200, standIn.faults().state());
			case "POST faults" -> {
				standIn.faults().add(Json.read(body, Fault.class));
				exchange.answer(200, Map.of());
			}
			case "DELETE faults" -> {
				standIn.faults().clear();
				exchange.answer(200, Map.of());
			}
			case "POST orders" -> {
				standIn.order(path[path.length - 1], body);
				exchange.answer(200, Map.of());
			}
			default -> exchange.answer(404, Map.of());
		}
	}

	/**
	 * Where the stand-ins of one process are reached.
	 *
	 * @param tests the host and port for tests
	 * @param standIns the host and port of each stand-in by its name
	 */
	public record Addresses(String tests, Map<String, String> standIns) {

		/**
		 * Creates addresses.
		 */
		public Addresses {
			standIns = Collections.unmodifiableMap(new LinkedHashMap<>(standIns));
		}

	}

}
