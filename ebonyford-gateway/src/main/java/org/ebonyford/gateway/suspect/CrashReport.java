package org.ebonyford.gateway.suspect;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.suspect.CrashEvidence;

/**
 * A gateway's report on crashes of upstreams. Gateways send it to their peers in a
 * datagram, and write it to the store for gateways that start later.
 *
 * @param name the name of the gateway, which is the address at which its peers reach it
 * @param crashes the observed crashes, with times in milliseconds since the epoch
 * @param completed requests that were part of a crash and then completed
 * @param stillRunning upstreams that were believed to have crashed but are still running
 */
public record CrashReport(String name, List<CrashEvidence> crashes, List<Fingerprint> completed,
		List<UpstreamIncarnation> stillRunning) {

	/**
	 * The number of hexadecimal digits in a fingerprint that gateways exchange: enough
	 * that no two requests have the same one by chance.
	 */
	public static final int FINGERPRINT_DIGITS = 32;

	/**
	 * The maximum number of requests in one datagram.
	 */
	public static final int MAX_REQUESTS = 200;

	/**
	 * The first bytes of an encoded report: a magic number and the format version.
	 */
	private static final int MAGIC = 0xeb0f_2001;

	/**
	 * The maximum number of entries in a list, above the 256 crashes that a gateway
	 * remembers.
	 */
	private static final int MAX_ENTRIES = 1_024;

	/**
	 * Creates a report.
	 */
	public CrashReport {
		Objects.requireNonNull(name, "name");
		crashes = List.copyOf(crashes);
		completed = List.copyOf(completed);
		stillRunning = List.copyOf(stillRunning);
	}

	/**
	 * Creates a report that contains crashes only.
	 * @param name the name of the gateway
	 * @param crashes the crashes
	 * @return the report
	 */
	public static CrashReport ofCrashes(String name, List<CrashEvidence> crashes) {
		return new CrashReport(name, crashes, List.of(), List.of());
	}

	/**
	 * Encodes the report.
	 * @return the bytes
	 */
	public byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeInt(MAGIC);
			out.writeUTF(this.name);
			out.writeShort(this.crashes.size());
			for (CrashEvidence crash : this.crashes) {
				out.writeUTF(crash.upstream().value());
				out.writeLong(crash.incarnation());
				out.writeInt(crash.runningCount());
				out.writeLong(crash.knownAtMillis());
				writeRequests(out, crash.requests());
			}
			writeRequests(out, this.completed);
			out.writeShort(this.stillRunning.size());
			for (UpstreamIncarnation start : this.stillRunning) {
				out.writeUTF(start.upstream().value());
				out.writeLong(start.incarnation());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a report.
	 * @param bytes the bytes
	 * @return the report, or empty if the bytes are not a valid report
	 */
	public static Optional<CrashReport> decode(byte[] bytes) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
			if (in.readInt() != MAGIC) {
				return Optional.empty();
			}
			String name = in.readUTF();
			List<CrashEvidence> crashes = new ArrayList<>();
			for (int remaining = readCount(in); remaining > 0; remaining--) {
				UpstreamId upstream = new UpstreamId(in.readUTF());
				long incarnation = in.readLong();
				int runningCount = in.readInt();
				long knownAtMillis = in.readLong();
				crashes.add(new CrashEvidence(upstream, incarnation, new HashSet<>(readRequests(in)), runningCount,
						knownAtMillis));
			}
			List<Fingerprint> completed = readRequests(in);
			List<UpstreamIncarnation> living = new ArrayList<>();
			for (int remaining = readCount(in); remaining > 0; remaining--) {
				living.add(new UpstreamIncarnation(new UpstreamId(in.readUTF()), in.readLong()));
			}
			return (in.available() > 0) ? Optional.empty()
					: Optional.of(new CrashReport(name, crashes, completed, living));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static void writeRequests(DataOutputStream out, Iterable<Fingerprint> requests) throws IOException {
		Set<Fingerprint> distinct = new HashSet<>();
		requests.forEach(distinct::add);
		out.writeShort(distinct.size());
		for (Fingerprint request : distinct) {
			out.write(HexFormat.of().parseHex(request.value()));
		}
	}

	private static List<Fingerprint> readRequests(DataInputStream in) throws IOException {
		List<Fingerprint> requests = new ArrayList<>();
		for (int remaining = readCount(in); remaining > 0; remaining--) {
			byte[] digest = new byte[FINGERPRINT_DIGITS / 2];
			in.readFully(digest);
			requests.add(new Fingerprint(HexFormat.of().formatHex(digest)));
		}
		return requests;
	}

	private static int readCount(DataInputStream in) throws IOException {
		int count = in.readUnsignedShort();
		if (count > MAX_ENTRIES) {
			throw new IOException("A list has more than 1024 entries");
		}
		return count;
	}

	/**
	 * One run of an upstream between two restarts.
	 *
	 * @param upstream the upstream
	 * @param incarnation when the upstream started, in milliseconds since the epoch
	 */
	public record UpstreamIncarnation(UpstreamId upstream, long incarnation) {
	}

}
