package org.ebonyford.gateway.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;

/**
 * A gateway's report on its own load, usage and upstream speeds, which it sends to its
 * peers in one datagram.
 *
 * @param name the name of the gateway, which is the address at which its peers reach it
 * @param catalogAgeMillis the age of its configuration in milliseconds
 * @param catalogVersion the version of its configuration, 0 if it has none
 * @param loads its load on upstreams, by the hash of the upstream's identifier
 * @param usages the tokens that organisations requested of it and that it served, by the
 * hash of the organisation's name
 * @param paces the speed of upstreams that it measured, by the hash of the service
 * @param statedPaces the newest paces that upstreams stated to it, by the hash of the
 * upstream's identifier, observed at a time before the report that is given as a negative
 * number
 */
public record PeerReport(String name, int catalogAgeMillis, long catalogVersion, Map<Integer, Load> loads,
		Map<Integer, Usage> usages, Map<Integer, PaceTotals> paces, Map<Integer, PaceObservation> statedPaces) {

	/**
	 * The maximum number of upstreams in a report, so that it fits one packet.
	 */
	public static final int MAX_LOADS = 80;

	/**
	 * The maximum number of organisations in a report, those that request the most
	 * tokens.
	 */
	public static final int MAX_USAGES = 41;

	/**
	 * The unit of encoded loads, in tokens: small compared with any prompt that affects
	 * placement.
	 */
	private static final int LOAD_UNIT_TOKENS = 32;

	/**
	 * The maximum number of tokens per window that is encoded: several times what all
	 * organisations together request of one gateway.
	 */
	private static final int MAX_WINDOW_TOKENS = 0xff_ffff;

	/**
	 * The unit of encoded recent usage, in tokens: a small part of a short request.
	 */
	private static final long RECENT_UNIT_TOKENS = 50;

	/**
	 * The maximum value of an unsigned integer of two bytes, which holds a number of
	 * units.
	 */
	private static final int MAX_UNSIGNED_SHORT = 0xffff;

	/**
	 * The first bytes of an encoded report: a magic number and the format version.
	 */
	private static final int MAGIC = 0xeb0f_0005;

	/**
	 * The size of the encoding buffer in bytes.
	 */
	private static final int MAX_BYTES = 4_096;

	/**
	 * The maximum size of a report in bytes: the payload of a datagram in an Ethernet
	 * frame.
	 */
	private static final int MAX_PACKET_BYTES = 1_472;

	/**
	 * Creates a report.
	 */
	public PeerReport {
		loads = Map.copyOf(loads);
		usages = Map.copyOf(usages);
		paces = Map.copyOf(paces);
		statedPaces = Map.copyOf(statedPaces);
	}

	/**
	 * Creates a report without stated paces.
	 * @param name the name of the gateway
	 * @param catalogAgeMillis the age of its configuration in milliseconds
	 * @param catalogVersion the version of its configuration, 0 if it has none
	 * @param loads its load on upstreams, by the hash of the upstream's identifier
	 * @param usages the tokens that organisations requested of it and that it served, by
	 * the hash of the organisation's name
	 * @param paces the speed of upstreams that it measured, by the hash of the service
	 */
	public PeerReport(String name, int catalogAgeMillis, long catalogVersion, Map<Integer, Load> loads,
			Map<Integer, Usage> usages, Map<Integer, PaceTotals> paces) {
		this(name, catalogAgeMillis, catalogVersion, loads, usages, paces, Map.of());
	}

	/**
	 * Encodes the report.
	 * @return the bytes
	 */
	public byte[] encode() {
		ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
		byte[] nameBytes = this.name.getBytes(StandardCharsets.US_ASCII);
		buffer.putInt(MAGIC)
			.putInt(this.catalogAgeMillis)
			.putInt((int) Math.min(this.catalogVersion, Integer.MAX_VALUE));
		buffer.put((byte) nameBytes.length).put(nameBytes);
		buffer.put((byte) this.loads.size());
		this.loads.forEach((upstream, load) -> buffer.putInt(upstream)
			.putShort((short) load.running())
			.putShort(toLoadUnits(load.prefillTokens()))
			.putShort(toLoadUnits(load.memoryTokens())));
		buffer.put((byte) this.usages.size());
		this.usages.forEach((organisation, usage) -> {
			buffer.putInt(organisation);
			writeWindowTokens(buffer, usage.requestedTokens());
			writeWindowTokens(buffer, usage.servedTokens());
			writeRecentTokens(buffer, usage.recentlyRequestedTokens());
			writeRecentTokens(buffer, usage.recentlyServedTokens());
		});
		PaceCodec.write(buffer, this.paces);
		StatedPaceCodec.write(buffer.limit(Math.max(MAX_PACKET_BYTES, buffer.position())), this.statedPaces);
		byte[] bytes = new byte[buffer.position()];
		buffer.flip().get(bytes);
		return bytes;
	}

	private static short toLoadUnits(long tokens) {
		return (short) Math.min((tokens + LOAD_UNIT_TOKENS - 1) / LOAD_UNIT_TOKENS, MAX_UNSIGNED_SHORT);
	}

	private static long readLoadTokens(ByteBuffer buffer) {
		return (buffer.getShort() & MAX_UNSIGNED_SHORT) * (long) LOAD_UNIT_TOKENS;
	}

	private static void writeWindowTokens(ByteBuffer buffer, long tokens) {
		int clamped = (int) Math.min(tokens, MAX_WINDOW_TOKENS);
		buffer.put((byte) (clamped >>> Short.SIZE)).putShort((short) clamped);
	}

	private static long readWindowTokens(ByteBuffer buffer) {
		return ((buffer.get() & 0xff) << Short.SIZE) | (buffer.getShort() & MAX_UNSIGNED_SHORT);
	}

	private static void writeRecentTokens(ByteBuffer buffer, long tokens) {
		buffer.putShort((short) Math.min((tokens + RECENT_UNIT_TOKENS / 2) / RECENT_UNIT_TOKENS, MAX_UNSIGNED_SHORT));
	}

	private static long readRecentTokens(ByteBuffer buffer) {
		return (buffer.getShort() & MAX_UNSIGNED_SHORT) * RECENT_UNIT_TOKENS;
	}

	/**
	 * Decodes a report.
	 * @param bytes the bytes
	 * @return the report, or empty if the bytes are not a valid report
	 */
	public static Optional<PeerReport> decode(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		try {
			if (buffer.getInt() != MAGIC) {
				return Optional.empty();
			}
			int catalogAgeMillis = buffer.getInt();
			long catalogVersion = buffer.getInt();
			byte[] nameBytes = new byte[buffer.get() & 0xff];
			buffer.get(nameBytes);
			Map<Integer, Load> loads = new HashMap<>();
			for (int remaining = buffer.get(); remaining > 0; remaining--) {
				loads.put(buffer.getInt(), new Load(buffer.getShort(), readLoadTokens(buffer), readLoadTokens(buffer)));
			}
			Map<Integer, Usage> usages = new HashMap<>();
			for (int remaining = buffer.get(); remaining > 0; remaining--) {
				usages.put(buffer.getInt(), new Usage(readWindowTokens(buffer), readWindowTokens(buffer),
						readRecentTokens(buffer), readRecentTokens(buffer)));
			}
			Map<Integer, PaceTotals> paces = PaceCodec.read(buffer);
			Map<Integer, PaceObservation> statedPaces = StatedPaceCodec.read(buffer);
			return buffer.hasRemaining() ? Optional.empty()
					: Optional.of(new PeerReport(new String(nameBytes, StandardCharsets.US_ASCII), catalogAgeMillis,
							catalogVersion, loads, usages, paces, statedPaces));
		}
		catch (BufferUnderflowException ex) {
			return Optional.empty();
		}
	}

}
