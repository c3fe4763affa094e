package org.ebonyford.gateway.rollout;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import org.ebonyford.rollout.RolloutOrder;
import org.ebonyford.rollout.RolloutPhase;
import org.ebonyford.rollout.RolloutProgress;

/**
 * Encodes the progress of a roll-out as it is saved in the store.
 */
public final class ProgressCodec {

	/**
	 * The first bytes of an encoded progress: a magic number and the format version.
	 */
	private static final int MAGIC = 0xeb0f_3001;

	/**
	 * The maximum number of characters of the reason that are saved.
	 */
	private static final int MAX_REASON_CHARS = 1_000;

	private ProgressCodec() {
	}

	/**
	 * Encodes progress.
	 * @param progress the progress
	 * @return the bytes
	 */
	public static byte[] encode(RolloutProgress progress) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			RolloutOrder order = progress.order();
			out.writeInt(MAGIC);
			out.writeUTF(order.service());
			out.writeUTF(order.target());
			out.writeLong(order.durationMillis());
			out.writeLong(order.revision());
			out.writeUTF(progress.phase().name());
			out.writeDouble(progress.share());
			out.writeLong(progress.orderedAtMillis());
			out.writeLong(progress.step());
			String reason = progress.reason();
			out.writeUTF(reason.substring(0, Math.min(reason.length(), MAX_REASON_CHARS)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes progress.
	 * @param bytes the bytes
	 * @return the progress, empty if the bytes are not a valid progress
	 */
	public static Optional<RolloutProgress> decode(byte[] bytes) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
			if (in.readInt() != MAGIC) {
				return Optional.empty();
			}
			RolloutOrder order = new RolloutOrder(in.readUTF(), in.readUTF(), in.readLong(), in.readLong());
			RolloutProgress progress = new RolloutProgress(order, RolloutPhase.valueOf(in.readUTF()), in.readDouble(),
					in.readLong(), in.readLong(), in.readUTF());
			return (in.available() > 0) ? Optional.empty() : Optional.of(progress);
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
