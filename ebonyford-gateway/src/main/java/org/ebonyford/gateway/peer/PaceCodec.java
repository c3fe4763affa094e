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
	private static final int GREATEST_PACES = 4;

	/**
	 * The unit in which times to a first byte are told, in microseconds: a tenth of the
	 * precision of the clock.
	 */
	private static final long TIME_UNIT = 100;

	/**
	 * The greatest number in four bytes without a sign.
	 */
	private static final long GREATEST_UNSIGNED = 0xffff_ffffL;

	/**
	 * The greatest number in three bytes.
	 */
	private static final long GREATEST_UNITS = 0xff_ffff;

	/**
	 * The greatest number in two bytes.
	 */
	private static final int GREATEST_SHORT = 0xffff;

	private PaceCodec() {
	}

	static void put(ByteBuffer buffer, Map<Integer, PaceTotals> paces) {
		List<Map.Entry<Integer, PaceTotals>> told = paces.entrySet()
			.stream()
			.sorted(Comparator
				.comparingInt((Map.Entry<Integer, PaceTotals> pace) -> pace.getValue().prefillRouters()
						+ pace.getValue().firstByteRouters())
				.reversed())
			.limit(GREATEST_PACES)
			.toList();
		buffer.put((byte) told.size());
		told.forEach((pace) -> {
			buffer.putInt(pace.getKey());
			putUnits(buffer, (pace.getValue().firstByteMicros() + TIME_UNIT / 2) / TIME_UNIT);
			putCount(buffer, pace.getValue().firstByteRouters());
			buffer.putInt((int) Math.min(pace.getValue().prefillNanosPerToken(), GREATEST_UNSIGNED));
			putCount(buffer, pace.getValue().prefillRouters());
		});
	}

	static Map<Integer, PaceTotals> read(ByteBuffer buffer) {
		Map<Integer, PaceTotals> paces = new HashMap<>();
		for (int rest = buffer.get() & 0xff; rest > 0; rest--) {
			paces.put(buffer.getInt(), new PaceTotals(units(buffer) * TIME_UNIT, count(buffer),
					buffer.getInt() & GREATEST_UNSIGNED, count(buffer)));
		}
		return paces;
	}

	private static void putUnits(ByteBuffer buffer, long units) {
		long told = Math.min(units, GREATEST_UNITS);
		buffer.put((byte) (told >>> Short.SIZE)).putShort((short) told);
	}

	private static long units(ByteBuffer buffer) {
		return ((buffer.get() & 0xffL) << Short.SIZE) | count(buffer);
	}

	private static void putCount(ByteBuffer buffer, int count) {
		buffer.putShort((short) Math.min(count, GREATEST_SHORT));
	}

	private static int count(ByteBuffer buffer) {
		return buffer.getShort() & GREATEST_SHORT;
	}

}
