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
 * What a gateway tells of crashes of upstreams, to its peers in a datagram and to those
 * that start later through the store.
 *
 * @param name the name of the gateway, which is the address at which its peers reach it
 * @param crashes the crashes, in milliseconds since the epoch
 * @param completed requests that completed after an upstream had crashed under them
 * @param stillRunning upstreams that go on, though they were taken to have crashed
 */
public record CrashReport(String name, List<CrashEvidence> crashes, List<Fingerprint> completed,
		List<UpstreamIncarnation> stillRunning) {

	/**
	 * The hexadecimal digits of a fingerprint between gateways: enough that no two
	 * requests share one by chance.
	 */
	public static final int FINGERPRINT_DIGITS = 32;

	/**
	 * The greatest number of requests in one datagram.
	 */
	public static final int MAX_REQUESTS = 200;

	/**
	 * What news begin with: a mark and the version of the format.
	 */
	private static final int MAGIC = 0xeb0f_2001;

	/**
	 * The greatest number of entries of a list: as many crashes as are remembered.
	 */
	private static final int MAX_ENTRIES = 1_024;

	/**
	 * Creates news.
	 */
	public CrashReport {
		Objects.requireNonNull(name, "name");
		crashes = List.copyOf(crashes);
		completed = List.copyOf(completed);
		stillRunning = List.copyOf(stillRunning);
	}

	/**
	 * Creates news of crashes alone.
	 * @param name the name of the gateway
	 * @param crashes the crashes
	 * @return the news
	 */
	public static CrashReport ofCrashes(String name, List<CrashEvidence> crashes) {
		return new CrashReport(name, crashes, List.of(), List.of());
	}

	/**
	 * Encodes the news.
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
	 * Decodes news.
	 * @param bytes the bytes
	 * @return the news, or empty if the bytes are none
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
			throw new IOException("There are too many entries");
		}
		return count;
	}

	/**
	 * A start of an upstream.
	 *
	 * @param upstream the upstream
	 * @param incarnation which of its starts, in milliseconds since the epoch
	 */
	public record UpstreamIncarnation(UpstreamId upstream, long incarnation) {
	}

}
