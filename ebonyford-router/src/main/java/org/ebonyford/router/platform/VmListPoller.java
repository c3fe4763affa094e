package org.ebonyford.router.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

import org.ebonyford.event.Event;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.VmId;
import org.ebonyford.membership.VmEntry;
import org.ebonyford.membership.VmList;
import org.ebonyford.router.EventSink;
import org.ebonyford.time.Clock;

/**
 * Reads the platform's list of VMs again and again.
 */
public final class VmListPoller {

	/**
	 * The state of a VM or an upstream that is about to be taken away.
	 */
	private static final String LEAVING = "leaving";

	/**
	 * Reads the list.
	 */
	private final JsonReader reader;

	/**
	 * The address of the list.
	 */
	private final String uri;

	/**
	 * The milliseconds between two readings.
	 */
	private final long intervalMillis;

	/**
	 * Takes the lists as events.
	 */
	private final EventSink sink;

	/**
	 * The clock that stamps the events.
	 */
	private final Clock clock;

	/**
	 * Whether a reading has not ended.
	 */
	private final AtomicBoolean asked = new AtomicBoolean();

	/**
	 * Creates a poller that does not read yet.
	 * @param reader reads the list
	 * @param base the address of the platform's list service
	 * @param intervalMillis the milliseconds between two readings
	 * @param sink takes the lists as events
	 * @param clock the clock that stamps the events
	 */
	public VmListPoller(JsonReader reader, String base, long intervalMillis, EventSink sink, Clock clock) {
		this.reader = reader;
		this.uri = base + "/vms";
		this.intervalMillis = intervalMillis;
		this.sink = sink;
		this.clock = clock;
	}

	/**
	 * Starts to read.
	 * @param scheduler the scheduler that starts each reading
	 */
	public void start(ScheduledExecutorService scheduler) {
		scheduler.scheduleWithFixedDelay(this::poll, 0, this.intervalMillis, TimeUnit.MILLISECONDS);
	}

	private void poll() {
		if (!this.asked.compareAndSet(false, true)) {
			return;
		}
		this.reader.read(this.uri, Document.class, Math.max(this.intervalMillis, TimeUnit.SECONDS.toMillis(1)))
			.whenComplete((document, ex) -> this.asked.set(false))
			.thenAccept((document) -> this.sink.accept(new Event.VmListRead(this.clock.millis(), document.list())));
	}

	/**
	 * The list as the platform writes it.
	 *
	 * @param revision the revision of the list
	 * @param vms the VMs
	 * @param upstreams the upstreams
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Document(long revision, List<Vm> vms, List<Upstream> upstreams) {

		/**
		 * Returns the list.
		 * @return the list
		 */
		VmList list() {
			List<VmEntry> entries = this.vms.stream().map(Vm::entry).toList();
			List<String> leaving = Optional.ofNullable(this.upstreams)
				.orElse(List.of())
				.stream()
				.filter((upstream) -> LEAVING.equals(upstream.state()))
				.map(Upstream::upstream)
				.toList();
			return new VmList(this.revision, entries, leaving);
		}

		/**
		 * A VM as the platform writes it.
		 *
		 * @param vm the name of the VM
		 * @param dataCentre the data centre
		 * @param address the host and port of the routers' own interface
		 * @param state {@code live} or {@code leaving}
		 */
		@JsonIgnoreProperties(ignoreUnknown = true)
		record Vm(String vm, String dataCentre, String address, String state) {

			private VmEntry entry() {
				return new VmEntry(new VmId(this.vm), new DataCentreId(this.dataCentre), this.address,
						LEAVING.equals(this.state));
			}

		}

		/**
		 * An upstream as the platform writes it.
		 *
		 * @param upstream the name of the upstream
		 * @param state {@code live} or {@code leaving}
		 */
		@JsonIgnoreProperties(ignoreUnknown = true)
		record Upstream(String upstream, String state) {

		}

	}

}
