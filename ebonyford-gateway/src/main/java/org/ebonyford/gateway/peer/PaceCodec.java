package org.ebonyford.gateway.peer;

import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.placement.PaceTotals;

/**
 * Encodes what gateways learned of how fast upstreams work, as a part of their messages.
 */
final class PaceCodec {

	/**
	 * The greatest number of services that are told, those of which most is known.
	 */
	private static final int MAX_PACES = 4;

	/**
	 * The unit in which times to a first byte are told, in microseconds: a tenth of the
	 * precision of the clock.
	 */
	private static final long TIME_UNIT_MICROS = 100;

	/**
	 * The greatest number in four bytes without a sign.
	 */
	private static final long MAX_UNSIGNED_INT = 0xffff_ffffL;

	/**
	 * The greatest number in three bytes.
	 */
	private static final long MAX_UNSIGNED_MEDIUM = 0xff_ffff;

	/**
	 * The greatest number in two bytes.
	 */
	private static final int MAX_UNSIGNED_SHORT = 0xffff;

	private PaceCodec() {
	}

	static void write(ByteBuffer buffer, Map<Integer, PaceTotals> paces) {
		List<Map.Entry<Integer, PaceTotals>> included = paces.entrySet()
			.stream()
			.sorted(Comparator
				.comparingInt((Map.Entry<Integer, PaceTotals> pace) -> pace.getValue().prefillRouters()
						+ pace.getValue().firstByteRouters())
				.reversed())
			.limit(MAX_PACES)
			.toList();
		buffer.put((byte) included.size());
		included.forEach((pace) -> {
			buffer.putInt(pace.getKey());
			writeMedium(buffer, (pace.getValue().firstByteMicros() + TIME_UNIT_MICROS / 2) / TIME_UNIT_MICROS);
			writeShort(buffer, pace.getValue().firstByteRouters());
			buffer.putInt((int) Math.min(pace.getValue().prefillNanosPerToken(), MAX_UNSIGNED_INT));
			writeShort(buffer, pace.getValue().prefillRouters());
		});
	}

	static Map<Integer, PaceTotals> read(ByteBuffer buffer) {
		Map<Integer, PaceTotals> paces = new HashMap<>();
		for (int remaining = buffer.get() & 0xff; remaining > 0; remaining--) {
			paces.put(buffer.getInt(), new PaceTotals(readMedium(buffer) * TIME_UNIT_MICROS, readShort(buffer),
					buffer.getInt() & MAX_UNSIGNED_INT, readShort(buffer)));
		}
		return paces;
	}

	private static void writeMedium(ByteBuffer buffer, long value) {
		long clamped = Math.min(value, MAX_UNSIGNED_MEDIUM);
		buffer.put((byte) (clamped >>> Short.SIZE)).putShort((short) clamped);
	}

	private static long readMedium(ByteBuffer buffer) {
		return ((buffer.get() & 0xffL) << Short.SIZE) | readShort(buffer);
	}

	private static void writeShort(ByteBuffer buffer, int value) {
		buffer.putShort((short) Math.min(value, MAX_UNSIGNED_SHORT));
	}

	private static int readShort(ByteBuffer buffer) {
		return buffer.getShort() & MAX_UNSIGNED_SHORT;
	}

}
