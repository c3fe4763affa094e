package org.ebonyford.gateway.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ebonyford.placement.Load;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;
import org.ebonyford.total.TotalsMessage;

/**
 * Encodes messages on the totals of gateways, each as one datagram that fits a packet. Of
 * what does not fit, the organisations that ask most and the upstreams that run most are
 * told.
 */
public final class TotalsCodec {

	/**
	 * What each message begins with: a mark and the version of the format.
	 */
	private static final int MARK = 0xeb0f_0102;

	/**
	 * The greatest size in bytes: the payload of a datagram in an Ethernet frame.
	 */
	private static final int GREATEST_BYTES = 1_472;

	/**
	 * The greatest number of organisations.
	 */
	private static final int GREATEST_USAGES = 45;

	/**
	 * The size in bytes of what is told of an upstream.
	 */
	private static final int LOAD_BYTES = 10;

	/**
	 * The unit in which tokens of organisations are told: a small part of a short
	 * request.
	 */
	private static final long USAGE_UNIT = 16;

	/**
	 * The greatest number of these units.
	 */
	private static final int GREATEST_USAGE = 0xff_ffff;

	/**
	 * The unit in which tokens of loads are told: small against any prompt that matters.
	 */
	private static final long LOAD_UNIT = 32;

	/**
	 * The greatest number of these units, and of requests.
	 */
	private static final int GREATEST_LOAD = 0xffff;

	private TotalsCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the bytes
	 */
	public static byte[] encode(TotalsMessage message) {
		ByteBuffer buffer = ByteBuffer.allocate(GREATEST_BYTES);
		buffer.putInt(MARK).put((byte) message.kind().ordinal());
		putText(buffer, message.sender());
		putText(buffer, message.dataCentre());
		buffer.putShort((short) message.sources()).putInt((int) Math.min(message.ageMillis(), Integer.MAX_VALUE));
		List<Map.Entry<Integer, Usage>> usages = message.usages()
			.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((Map.Entry<Integer, Usage> usage) -> usage.getValue().requestedTokens())
				.reversed())
			.limit(GREATEST_USAGES)
			.toList();
		buffer.put((byte) usages.size());
		usages.forEach((usage) -> putUsage(buffer.putInt(usage.getKey()), usage.getValue()));
		PaceCodec.put(buffer, message.paces());
		List<Map.Entry<Integer, Load>> loads = message.loads()
			.entrySet()
			.stream()
			.sorted(Comparator.comparingInt((Map.Entry<Integer, Load> load) -> load.getValue().running()).reversed())
			.limit((buffer.remaining() - 1) / LOAD_BYTES)
			.toList();
		buffer.put((byte) loads.size());
		loads.forEach((load) -> putLoad(buffer.putInt(load.getKey()), load.getValue()));
		byte[] bytes = new byte[buffer.position()];
		buffer.flip().get(bytes);
		return bytes;
	}

	/**
	 * Decodes a message.
	 * @param bytes the bytes
	 * @return the message, or empty if the bytes are none
	 */
	public static Optional<TotalsMessage> decode(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		try {
			if (buffer.getInt() != MARK) {
				return Optional.empty();
			}
			int kind = buffer.get();
			if (kind < 0 || kind >= TotalsMessage.Kind.values().length) {
				return Optional.empty();
			}
			String sender = text(buffer);
			String dataCentre = text(buffer);
			int sources = buffer.getShort() & GREATEST_LOAD;
			long age = buffer.getInt() & 0xffff_ffffL;
			Map<Integer, Usage> usages = new HashMap<>();
			for (int rest = buffer.get() & 0xff; rest > 0; rest--) {
				usages.put(buffer.getInt(), new Usage(tokens(buffer), tokens(buffer), tokens(buffer), tokens(buffer)));
			}
			Map<Integer, PaceTotals> paces = PaceCodec.read(buffer);
			Map<Integer, Load> loads = new HashMap<>();
			for (int rest = buffer.get() & 0xff; rest > 0; rest--) {
				loads.put(buffer.getInt(),
						new Load(buffer.getShort() & GREATEST_LOAD, (buffer.getShort() & GREATEST_LOAD) * LOAD_UNIT,
								(buffer.getShort() & GREATEST_LOAD) * LOAD_UNIT));
			}
			return buffer.hasRemaining() ? Optional.empty()
					: Optional.of(new TotalsMessage(TotalsMessage.Kind.values()[kind], sender, dataCentre, sources, age,
							loads, usages, paces));
		}
		catch (BufferUnderflowException ex) {
			return Optional.empty();
		}
	}

	private static void putText(ByteBuffer buffer, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		buffer.put((byte) bytes.length).put(bytes);
	}

	private static String text(ByteBuffer buffer) {
		byte[] bytes = new byte[buffer.get() & 0xff];
		buffer.get(bytes);
		return new String(bytes, StandardCharsets.UTF_8);
	}

	private static void putUsage(ByteBuffer buffer, Usage usage) {
		putTokens(buffer, usage.requestedTokens());
		putTokens(buffer, usage.servedTokens());
		putTokens(buffer, usage.recentlyRequestedTokens());
		putTokens(buffer, usage.recentlyServedTokens());
	}

	private static void putTokens(ByteBuffer buffer, long tokens) {
		int units = (int) Math.min((tokens + USAGE_UNIT / 2) / USAGE_UNIT, GREATEST_USAGE);
		buffer.put((byte) (units >>> Short.SIZE)).putShort((short) units);
	}

	private static long tokens(ByteBuffer buffer) {
		return (((buffer.get() & 0xff) << Short.SIZE) | (buffer.getShort() & GREATEST_LOAD)) * USAGE_UNIT;
	}

	private static void putLoad(ByteBuffer buffer, Load load) {
		buffer.putShort((short) Math.min(load.running(), GREATEST_LOAD))
			.putShort(units(load.reading()))
			.putShort(units(load.memory()));
	}

	private static short units(long tokens) {
		return (short) Math.min((tokens + LOAD_UNIT - 1) / LOAD_UNIT, GREATEST_LOAD);
	}

}
