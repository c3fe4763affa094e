package org.ebonyford.gateway.peer;

import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.ebonyford.placement.PaceObservation;

/**
 * Encodes the paces that upstreams stated as the optional end of the datagrams between
 * gateways. If there are none, nothing is written, so that datagrams are the same as
 * without this part.
 */
final class StatedPaceCodec {

	/**
	 * The encoded size of the pace of one upstream, in bytes.
	 */
	private static final int PACE_BYTES = 7;

	/**
	 * The maximum number of upstreams in a datagram. Others keep three quarters of the
	 * space for the loads.
	 */
	private static final int MAX_PACES = 40;

	/**
	 * The unit of an encoded pace: a percent, as upstreams state it.
	 */
	private static final double UNITS = 100;

	/**
	 * The unit of an encoded age in milliseconds, with which the greatest age is longer
	 * than an observation is valid.
	 */
	private static final long AGE_UNIT_MILLIS = 4;

	/**
	 * The maximum value of an unsigned integer of one byte.
	 */
	private static final int MAX_UNSIGNED_BYTE = 0xff;

	/**
	 * The maximum value of an unsigned integer of two bytes.
	 */
	private static final int MAX_UNSIGNED_SHORT = 0xffff;

	private StatedPaceCodec() {
	}

	/**
	 * Returns the size of the encoded paces.
	 * @param paces the paces
	 * @return the number of bytes
	 */
	static int size(Map<Integer, PaceObservation> paces) {
		return paces.isEmpty() ? 0 : 1 + Math.min(paces.size(), MAX_PACES) * PACE_BYTES;
	}

	/**
	 * Writes as many paces as there is space for, the newest first.
	 * @param buffer the end of the datagram
	 * @param paces the paces, observed at a time before now as a negative number
	 */
	static void write(ByteBuffer buffer, Map<Integer, PaceObservation> paces) {
		int space = Math.min((buffer.remaining() - 1) / PACE_BYTES, MAX_PACES);
		if (paces.isEmpty() || space <= 0) {
			return;
		}
		List<Map.Entry<Integer, PaceObservation>> newest = paces.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((Map.Entry<Integer, PaceObservation> pace) -> pace.getValue().observedAt())
				.reversed())
			.limit(space)
			.toList();
		buffer.put((byte) newest.size());
		newest.forEach((pace) -> {
			long units = Math.round(pace.getValue().factor() * UNITS);
			long age = Math.max(-pace.getValue().observedAt(), 0) / AGE_UNIT_MILLIS;
			buffer.putInt(pace.getKey())
				.putShort((short) Math.max(1, Math.min(units, MAX_UNSIGNED_SHORT)))
				.put((byte) Math.min(age, MAX_UNSIGNED_BYTE));
		});
	}

	/**
	 * Reads the paces. An empty part is an invalid one, since it is never written.
	 * @param buffer the end of the datagram
	 * @return the paces; none, without reading anything, if the part is missing or
	 * invalid
	 */
	static Map<Integer, PaceObservation> read(ByteBuffer buffer) {
		Map<Integer, PaceObservation> paces = new HashMap<>();
		if (!buffer.hasRemaining()) {
			return paces;
		}
		int count = buffer.get(buffer.position()) & MAX_UNSIGNED_BYTE;
		if (count == 0 || buffer.remaining() != 1 + count * PACE_BYTES) {
			return paces;
		}
		buffer.get();
		for (int remaining = count; remaining > 0; remaining--) {
			int upstream = buffer.getInt();
			double factor = (buffer.getShort() & MAX_UNSIGNED_SHORT) / UNITS;
			paces.put(upstream, new PaceObservation(factor, -(buffer.get() & MAX_UNSIGNED_BYTE) * AGE_UNIT_MILLIS));
		}
		return paces;
	}

}
