package org.ebonyford.gateway.rollout;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ebonyford.rollout.RolloutEvidence;
import org.ebonyford.rollout.RolloutEvidence.Counts;
import org.ebonyford.rollout.RolloutEvidence.Outcomes;
import org.ebonyford.rollout.RolloutReport;

/**
 * The datagram in which a gateway sends its report to the coordinator of a roll-out and
 * to the gateway that would be the next coordinator.
 *
 * @param report the report
 * @param viewAgeMillis the age of the sender's view of the store, from which the next
 * coordinator sees that the present one cannot decide
 */
public record RolloutMessage(RolloutReport report, long viewAgeMillis) {

	/**
	 * The maximum number of routes in a datagram, which keeps it below 1,400 bytes. The
	 * outcomes of further routes are added up.
	 */
	static final int MAX_ROUTES = 40;

	/**
	 * The key under which the outcomes of further routes are added up.
	 */
	static final int FURTHER_ROUTES = 0;

	/**
	 * The first bytes of an encoded datagram: a magic number and the format version.
	 */
	private static final int MAGIC = 0xeb0f_4001;

	/**
	 * Creates message.
	 */
	public RolloutMessage {
		Objects.requireNonNull(report, "report");
	}

	/**
	 * Encodes the message.
	 * @return the bytes
	 */
	public byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			Map<Integer, Outcomes> routes = bounded(this.report.evidence().routes());
			out.writeInt(MAGIC);
			out.writeUTF(this.report.gateway());
			out.writeLong(this.report.start());
			out.writeLong(this.report.revision());
			out.writeLong(this.report.step());
			out.writeInt(this.report.openElsewhere());
			out.writeLong(this.report.requests());
			out.writeLong(this.report.orderAgeMillis());
			out.writeLong(this.viewAgeMillis);
			out.writeByte(routes.size());
			for (Map.Entry<Integer, Outcomes> route : routes.entrySet()) {
				out.writeInt(route.getKey());
				write(out, route.getValue().target());
				write(out, route.getValue().others());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	private static Map<Integer, Outcomes> bounded(Map<Integer, Outcomes> routes) {
		if (routes.size() <= MAX_ROUTES) {
			return routes;
		}
		List<Map.Entry<Integer, Outcomes>> busiestFirst = routes.entrySet()
			.stream()
			.sorted(Comparator
				.comparingLong((Map.Entry<Integer, Outcomes> route) -> route.getValue().target().answers())
				.reversed())
			.toList();
		Map<Integer, Outcomes> bounded = new HashMap<>();
		for (int index = 0; index < busiestFirst.size(); index++) {
			Map.Entry<Integer, Outcomes> route = busiestFirst.get(index);
			bounded.merge((index < MAX_ROUTES - 1) ? route.getKey() : FURTHER_ROUTES, route.getValue(), Outcomes::plus);
		}
		return bounded;
	}

	private static void write(DataOutputStream out, Counts counts) throws IOException {
		out.writeInt((int) Math.min(counts.answers(), Integer.MAX_VALUE));
		out.writeInt((int) Math.min(counts.failures(), Integer.MAX_VALUE));
		out.writeInt((int) Math.min(counts.slow(), Integer.MAX_VALUE));
	}

	/**
	 * Decodes message.
	 * @param bytes the bytes
	 * @return the message, empty if the bytes are another datagram or of another version
	 */
	public static Optional<RolloutMessage> decode(byte[] bytes) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
			if (in.readInt() != MAGIC) {
				return Optional.empty();
			}
			String gateway = in.readUTF();
			long start = in.readLong();
			long revision = in.readLong();
			long step = in.readLong();
			int openElsewhere = in.readInt();
			long requests = in.readLong();
			long orderAgeMillis = in.readLong();
			long viewAgeMillis = in.readLong();
			Map<Integer, Outcomes> routes = new HashMap<>();
			for (int remaining = in.readUnsignedByte(); remaining > 0; remaining--) {
				routes.put(in.readInt(), new Outcomes(readCounts(in), readCounts(in)));
			}
			RolloutReport report = new RolloutReport(gateway, start, revision, step, openElsewhere, requests,
					new RolloutEvidence(routes), orderAgeMillis);
			return (in.available() > 0) ? Optional.empty() : Optional.of(new RolloutMessage(report, viewAgeMillis));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private static Counts readCounts(DataInputStream in) throws IOException {
		return new Counts(in.readInt(), in.readInt(), in.readInt());
	}

}
