package org.ebonyford.router.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.ebonyford.control.ControlLog;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.router.log.LogSlice;

/**
 * Writes and reads the bodies of records in the control stream as JSON.
 */
public final class ControlRecordCodec {

	/**
	 * Maps the bodies.
	 */
	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	/**
	 * Writes a body. Offset, time and version are the log's and are left out.
	 * @param record the record
	 * @return the body
	 */
	public byte[] encode(ControlRecord record) {
		ControlState state = record.state();
		Body body = new Body(record.id(), record.author(), record.basedOn(), state.plans(), state.uses(),
				names(state.dataCentresOut(), DataCentreId::value), names(state.vmsOut(), VmId::value),
				names(state.upstreamsOut(), UpstreamId::value));
		try {
			return this.mapper.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a record.
	 * @param record the record as the log keeps it
	 * @return the record, or empty if its body cannot be read
	 */
	public Optional<ControlRecord> decode(LogSlice.LogRecord record) {
		try {
			Body body = this.mapper.readValue(record.body(), Body.class);
			return Optional.of(new ControlRecord(record.offset(), record.time(), body.id(), body.author(),
					body.basedOn(), state(record.offset(), body)));
		}
		catch (IOException | IllegalArgumentException | NullPointerException ex) {
			return Optional.empty();
		}
	}

	private static ControlState state(long version, Body body) {
		return new ControlState(version, Objects.requireNonNull(body.plans()), Objects.requireNonNull(body.uses()),
				identifiers(body.dataCentresOut(), DataCentreId::new), identifiers(body.vmsOut(), VmId::new),
				identifiers(body.upstreamsOut(), UpstreamId::new));
	}

	private static <T> List<String> names(Set<T> identifiers, Function<T, String> name) {
		return identifiers.stream().map(name).sorted().toList();
	}

	private static <T> Set<T> identifiers(List<String> names, Function<String, T> identifier) {
		return names.stream().map(identifier).collect(Collectors.toSet());
	}

	/**
	 * The body of a record.
	 *
	 * @param id a name that the author chose, unique among all records
	 * @param author who appended the record
	 * @param basedOn the version that the proposal starts from, or
	 * {@link ControlLog#NO_VERSION}
	 * @param plans the text of the plans file
	 * @param uses the text of the uses file
	 * @param dataCentresOut the data centres that are out of service
	 * @param vmsOut the VMs that are out of service
	 * @param upstreamsOut the upstreams that are out of service
	 */
	record Body(String id, String author, long basedOn, String plans, String uses, List<String> dataCentresOut,
			List<String> vmsOut, List<String> upstreamsOut) {

		/**
		 * Creates a body.
		 * @throws NullPointerException if a part is missing
		 */
		Body {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(author, "author");
			dataCentresOut = List.copyOf(dataCentresOut);
			vmsOut = List.copyOf(vmsOut);
			upstreamsOut = List.copyOf(upstreamsOut);
		}

	}

}
