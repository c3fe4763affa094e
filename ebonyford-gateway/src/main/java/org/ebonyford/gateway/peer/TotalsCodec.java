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
import org.ebonyford.placement.PaceObservation;
import org.ebonyford.placement.PaceTotals;
import org.ebonyford.share.Usage;
import org.ebonyford.total.TotalsMessage;

/**
 * Encodes and decodes messages on the totals of gateways. Each message is one datagram
 * that fits one packet. If not all entries fit, it contains the organisations that
 * request the most tokens and the upstreams that run the most requests.
 */
public final class TotalsCodec {

	/**
	 * The first bytes of an encoded message: a magic number and the format version.
	 */
	private static final int MAGIC = 0xeb0f_0102;

	/**
	 * The maximum size of a message in bytes: the payload of a datagram in an Ethernet
	 * frame.
	 */
	private static final int MAX_BYTES = 1_472;

	/**
	 * The maximum number of organisations in a message.
	 */
	private static final int MAX_USAGES = 45;

	/**
	 * The encoded size of the load of one upstream, in bytes.
	 */
	private static final int LOAD_BYTES = 10;

	/**
	 * The unit of encoded usage, in tokens: a small part of a short request.
	 */
	private static final long USAGE_UNIT_TOKENS = 16;

	/**
	 * The maximum number of usage units, an unsigned integer of three bytes.
	 */
	private static final int MAX_USAGE_UNITS = 0xff_ffff;

	/**
	 * The unit of encoded loads, in tokens: small compared with any prompt that affects
	 * placement.
	 */
	private static final long LOAD_UNIT_TOKENS = 32;

	/**
	 * The maximum value of an unsigned integer of two bytes, which holds a number of load
	 * units, requests or gateways.
	 */
	private static final int MAX_UNSIGNED_SHORT = 0xffff;

	private TotalsCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the bytes
	 */
	public static byte[] encode(TotalsMessage message) {
		ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
		buffer.putInt(MAGIC).put((byte) message.kind().ordinal());
		writeText(buffer, message.sender());
		writeText(buffer, message.dataCentre());
		buffer.putShort((short) message.sources()).putInt((int) Math.min(message.ageMillis(), Integer.MAX_VALUE));
		List<Map.Entry<Integer, Usage>> usages = message.usages()
			.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((Map.Entry<Integer, Usage> usage) -> usage.getValue().requestedTokens())
				.reversed())
			.limit(MAX_USAGES)
			.toList();
		buffer.put((byte) usages.size());
		usages.forEach((usage) -> writeUsage(buffer.putInt(usage.getKey()), usage.getValue()));
		PaceCodec.write(buffer, message.paces());
		List<Map.Entry<Integer, Load>> loads = message.loads()
			.entrySet()
			.stream()
			.sorted(Comparator.comparingInt((Map.Entry<Integer, Load> load) -> load.getValue().running()).reversed())
			.limit((buffer.remaining() - 1 - StatedPaceCodec.size(message.statedPaces())) / LOAD_BYTES)
			.toList();
		buffer.put((byte) loads.size());
		loads.forEach((load) -> writeLoad(buffer.putInt(load.getKey()), load.getValue()));
		StatedPaceCodec.write(buffer, message.statedPaces());
		byte[] bytes = new byte[buffer.position()];
		buffer.flip().get(bytes);
		return bytes;
	}

	/**
	 * Decodes a message.
	 * @param bytes the bytes
	 * @return the message, or empty if the bytes are not a valid message
	 */
	public static Optional<TotalsMessage> decode(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		try {
			if (buffer.getInt() != MAGIC) {
				return Optional.empty();
			}
			int kind = buffer.get();
			if (kind < 0 || kind >= TotalsMessage.Kind.values().length) {
				return Optional.empty();
			}
			String sender = readText(buffer);
			String dataCentre = readText(buffer);
			int sources = buffer.getShort() & MAX_UNSIGNED_SHORT;
			long ageMillis = buffer.getInt() & 0xffff_ffffL;
			Map<Integer, Usage> usages = new HashMap<>();
			for (int remaining = buffer.get() & 0xff; remaining > 0; remaining--) {
				usages.put(buffer.getInt(), new Usage(readUsageTokens(buffer), readUsageTokens(buffer),
						readUsageTokens(buffer), readUsageTokens(buffer)));
			}
			Map<Integer, PaceTotals> paces = PaceCodec.read(buffer);
			Map<Integer, Load> loads = new HashMap<>();
			for (int remaining = buffer.get() & 0xff; remaining > 0; remaining--) {
				loads.put(buffer.getInt(),
						new Load(buffer.getShort() & MAX_UNSIGNED_SHORT,
								(buffer.getShort() & MAX_UNSIGNED_SHORT) * LOAD_UNIT_TOKENS,
								(buffer.getShort() & MAX_UNSIGNED_SHORT) * LOAD_UNIT_TOKENS));
			}
			Map<Integer, PaceObservation> statedPaces = StatedPaceCodec.read(buffer);
			return buffer.hasRemaining() ? Optional.empty()
					: Optional.of(new TotalsMessage(TotalsMessage.Kind.values()[kind], sender, dataCentre, sources,
							ageMillis, loads, usages, paces, statedPaces));
		}
		catch (BufferUnderflowException ex) {
			return Optional.empty();
		}
	}

	private static void writeText(ByteBuffer buffer, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		buffer.put((byte) bytes.length).put(bytes);
	}

	private static String readText(ByteBuffer buffer) {
		byte[] bytes = new byte[buffer.get() & 0xff];
		buffer.get(bytes);
		return new String(bytes, StandardCharsets.UTF_8);
	}

	private static void writeUsage(ByteBuffer buffer, Usage usage) {
		writeUsageTokens(buffer, usage.requestedTokens());
		writeUsageTokens(buffer, usage.servedTokens());
		writeUsageTokens(buffer, usage.recentlyRequestedTokens());
		writeUsageTokens(buffer, usage.recentlyServedTokens());
	}

	private static void writeUsageTokens(ByteBuffer buffer, long tokens) {
		int units = (int) Math.min((tokens + USAGE_UNIT_TOKENS / 2) / USAGE_UNIT_TOKENS, MAX_USAGE_UNITS);
		buffer.put((byte) (units >>> Short.SIZE)).putShort((short) units);
	}

	private static long readUsageTokens(ByteBuffer buffer) {
		return (((buffer.get() & 0xff) << Short.SIZE) | (buffer.getShort() & MAX_UNSIGNED_SHORT)) * USAGE_UNIT_TOKENS;
	}

	private static void writeLoad(ByteBuffer buffer, Load load) {
		buffer.putShort((short) Math.min(load.running(), MAX_UNSIGNED_SHORT))
			.putShort(toLoadUnits(load.prefillTokens()))
			.putShort(toLoadUnits(load.memoryTokens()));
	}

	private static short toLoadUnits(long tokens) {
		return (short) Math.min((tokens + LOAD_UNIT_TOKENS - 1) / LOAD_UNIT_TOKENS, MAX_UNSIGNED_SHORT);
	}

}
