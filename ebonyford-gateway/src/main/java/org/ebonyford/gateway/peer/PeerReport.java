package org.ebonyford.gateway.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;

/**
 * What a gateway tells its peers of itself. It fits one datagram.
 *
 * @param name the name of the gateway, which is the address at which its peers reach it
 * @param catalogAge the age of its configuration in milliseconds
 * @param loads its load on upstreams by the hash of their identifier
 * @param usages what organisations asked of it and got, by the hash of their name
 * @param paces what it learned of how fast upstreams work, by the hash of their service
 */
public record PeerReport(String name, int catalogAge, Map<Integer, Load> loads, Map<Integer, Usage> usages,
		Map<Integer, PaceTotals> paces) {

	/**
	 * The greatest number of upstreams in a report, so that it fits a packet.
	 */
	public static final int GREATEST_LOADS = 80;

	/**
	 * The greatest number of organisations in a report, those that ask most.
	 */
	public static final int GREATEST_USAGES = 41;

	/**
	 * The unit in which tokens of loads are told: small against any prompt that matters.
	 */
	private static final int TOKEN_UNIT = 32;

	/**
	 * The greatest number of tokens of a window that is told: several times what one
	 * gateway is asked for by all organisations.
	 */
	private static final int GREATEST_WHOLE = 0xff_ffff;

	/**
	 * The unit in which recent tokens are told: a small part of a short request.
	 */
	private static final long RECENT_UNIT = 50;

	/**
	 * The greatest number of these units.
	 */
	private static final int GREATEST_UNITS = 0xffff;

	/**
	 * What each report begins with: a mark and the version of the format.
	 */
	private static final int MARK = 0xeb0f_0004;

	/**
	 * The greatest size in bytes.
	 */
	private static final int GREATEST_BYTES = 4_096;

	/**
	 * Creates a report.
	 */
	public PeerReport {
		loads = Map.copyOf(loads);
		usages = Map.copyOf(usages);
		paces = Map.copyOf(paces);
	}

	/**
	 * Encodes the report.
	 * @return the bytes
	 */
	public byte[] encode() {
		ByteBuffer buffer = ByteBuffer.allocate(GREATEST_BYTES);
		byte[] text = this.name.getBytes(StandardCharsets.US_ASCII);
		buffer.putInt(MARK).putInt(this.catalogAge).put((byte) text.length).put(text);
		buffer.put((byte) this.loads.size());
		this.loads.forEach((upstream, load) -> buffer.putInt(upstream)
			.putShort((short) load.running())
			.putShort(units(load.reading()))
			.putShort(units(load.memory())));
		buffer.put((byte) this.usages.size());
		this.usages.forEach((organisation, usage) -> {
			buffer.putInt(organisation);
			putWhole(buffer, usage.requestedTokens());
			putWhole(buffer, usage.servedTokens());
			putRecent(buffer, usage.recentlyRequestedTokens());
			putRecent(buffer, usage.recentlyServedTokens());
		});
		PaceCodec.put(buffer, this.paces);
		byte[] bytes = new byte[buffer.position()];
		buffer.flip().get(bytes);
		return bytes;
	}

	private static short units(long tokens) {
		return (short) Math.min((tokens + TOKEN_UNIT - 1) / TOKEN_UNIT, GREATEST_UNITS);
	}

	private static long tokens(ByteBuffer buffer) {
		return (buffer.getShort() & GREATEST_UNITS) * (long) TOKEN_UNIT;
	}

	private static void putWhole(ByteBuffer buffer, long tokens) {
		int told = (int) Math.min(tokens, GREATEST_WHOLE);
		buffer.put((byte) (told >>> Short.SIZE)).putShort((short) told);
	}

	private static long whole(ByteBuffer buffer) {
		return ((buffer.get() & 0xff) << Short.SIZE) | (buffer.getShort() & GREATEST_UNITS);
	}

	private static void putRecent(ByteBuffer buffer, long tokens) {
		buffer.putShort((short) Math.min((tokens + RECENT_UNIT / 2) / RECENT_UNIT, GREATEST_UNITS));
	}

	private static long recent(ByteBuffer buffer) {
		return (buffer.getShort() & GREATEST_UNITS) * RECENT_UNIT;
	}

	/**
	 * Decodes a report.
	 * @param bytes the bytes
	 * @return the report, or empty if the bytes are none
	 */
	public static Optional<PeerReport> decode(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		try {
			if (buffer.getInt() != MARK) {
				return Optional.empty();
			}
			int age = buffer.getInt();
			byte[] text = new byte[buffer.get() & 0xff];
			buffer.get(text);
			Map<Integer, Load> loads = new HashMap<>();
			for (int rest = buffer.get(); rest > 0; rest--) {
				loads.put(buffer.getInt(), new Load(buffer.getShort(), tokens(buffer), tokens(buffer)));
			}
			Map<Integer, Usage> usages = new HashMap<>();
			for (int rest = buffer.get(); rest > 0; rest--) {
				usages.put(buffer.getInt(), new Usage(whole(buffer), whole(buffer), recent(buffer), recent(buffer)));
			}
			Map<Integer, PaceTotals> paces = PaceCodec.read(buffer);
			return buffer.hasRemaining() ? Optional.empty() : Optional
				.of(new PeerReport(new String(text, StandardCharsets.US_ASCII), age, loads, usages, paces));
		}
		catch (BufferUnderflowException ex) {
			return Optional.empty();
		}
	}

}
