package org.ebonyford.gateway.suspect;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.suspect.CrashEvidence;
import org.ebonyford.suspect.UnansweredPrompt;

/**
 * A gateway's report on crashes of upstreams. Gateways send it to their peers in a
 * datagram, and write it to the store for gateways that start later.
 *
 * @param name the name of the gateway, which is the address at which its peers reach it
 * @param crashes the observed crashes, with times in milliseconds since the epoch
 * @param completed requests that were part of a crash and then completed
 * @param stillRunning upstreams that were believed to have crashed but are still running
 * @param survivedParts for each part of prompts with which an upstream went on, how long
 * ago that was, in milliseconds
 * @param suspectedParts for each part of prompts that crashes upstreams, how much longer
 * requests with it are refused, in milliseconds
 */
public record CrashReport(String name, List<CrashEvidence> crashes, List<Fingerprint> completed,
		List<UpstreamIncarnation> stillRunning, Map<Long, Long> survivedParts, Map<Long, Long> suspectedParts) {

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
	private static final int MAGIC = 0xeb0f_2002;

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
		survivedParts = Map.copyOf(survivedParts);
		suspectedParts = Map.copyOf(suspectedParts);
	}

	/**
	 * Creates a report that contains crashes only.
	 * @param name the name of the gateway
	 * @param crashes the crashes
	 * @return the report
	 */
	public static CrashReport ofCrashes(String name, List<CrashEvidence> crashes) {
		return new CrashReport(name, crashes, List.of(), List.of(), Map.of(), Map.of());
	}

	/**
	 * Creates a report that contains parts of prompts only.
	 * @param name the name of the gateway
	 * @param survivedParts the parts with which an upstream went on
	 * @param suspectedParts the parts that crash upstreams
	 * @return the report
	 */
	public static CrashReport ofParts(String name, Map<Long, Long> survivedParts, Map<Long, Long> suspectedParts) {
		return new CrashReport(name, List.of(), List.of(), List.of(), survivedParts, suspectedParts);
	}

	/**
	 * Returns a copy with other suspected parts.
	 * @param parts how much longer requests with each part are refused, in milliseconds
	 * @return the report
	 */
	public CrashReport withSuspectedParts(Map<Long, Long> parts) {
		return new CrashReport(this.name, this.crashes, this.completed, this.stillRunning, this.survivedParts, parts);
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
				writePrompts(out, crash.prompts());
			}
			writeRequests(out, this.completed);
			out.writeShort(this.stillRunning.size());
			for (UpstreamIncarnation start : this.stillRunning) {
				out.writeUTF(start.upstream().value());
				out.writeLong(start.incarnation());
			}
			writeParts(out, this.survivedParts);
			writeParts(out, this.suspectedParts);
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
				Set<Fingerprint> requests = new HashSet<>(readRequests(in));
				crashes.add(new CrashEvidence(upstream, incarnation, requests, runningCount, knownAtMillis,
						readPrompts(in)));
			}
			List<Fingerprint> completed = readRequests(in);
			List<UpstreamIncarnation> living = new ArrayList<>();
			for (int remaining = readCount(in); remaining > 0; remaining--) {
				living.add(new UpstreamIncarnation(new UpstreamId(in.readUTF()), in.readLong()));
			}
			Map<Long, Long> survivedParts = readParts(in);
			Map<Long, Long> suspectedParts = readParts(in);
			return (in.available() > 0) ? Optional.empty()
					: Optional.of(new CrashReport(name, crashes, completed, living, survivedParts, suspectedParts));
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

	private static void writePrompts(DataOutputStream out, List<UnansweredPrompt> prompts) throws IOException {
		out.writeShort(prompts.size());
		for (UnansweredPrompt prompt : prompts) {
			out.writeLong(prompt.id());
			out.writeShort(prompt.parts().size());
			for (long part : prompt.parts()) {
				out.writeLong(part);
			}
		}
	}

	private static List<UnansweredPrompt> readPrompts(DataInputStream in) throws IOException {
		List<UnansweredPrompt> prompts = new ArrayList<>();
		for (int remaining = readCount(in); remaining > 0; remaining--) {
			long id = in.readLong();
			List<Long> parts = new ArrayList<>();
			for (int remainingParts = readCount(in); remainingParts > 0; remainingParts--) {
				parts.add(in.readLong());
			}
			prompts.add(new UnansweredPrompt(id, parts));
		}
		return prompts;
	}

	private static void writeParts(DataOutputStream out, Map<Long, Long> millisByPart) throws IOException {
		out.writeShort(millisByPart.size());
		for (Map.Entry<Long, Long> entry : millisByPart.entrySet()) {
			out.writeLong(entry.getKey());
			out.writeLong(entry.getValue());
		}
	}

	private static Map<Long, Long> readParts(DataInputStream in) throws IOException {
		Map<Long, Long> millisByPart = new HashMap<>();
		for (int remaining = readCount(in); remaining > 0; remaining--) {
			millisByPart.put(in.readLong(), in.readLong());
		}
		return millisByPart;
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
