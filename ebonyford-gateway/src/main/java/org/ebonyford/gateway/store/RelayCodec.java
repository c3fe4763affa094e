package org.ebonyford.gateway.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes what gateways read from each other.
 */
final class RelayCodec {

	/**
	 * What each message begins with: a mark and the version of the format.
	 */
	private static final int MARK = 0xeb0f_1003;

	private RelayCodec() {
	}

	static byte[] encode(StoreBatch batch) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeInt(MARK);
			out.writeLong(batch.ageMillis());
			out.writeLong(batch.next());
			out.writeLong(batch.era());
			out.writeInt(batch.records().size());
			for (StoreRecord record : batch.records()) {
				out.writeUTF(record.key());
				out.writeLong(record.offset());
				out.writeInt(record.value().map((value) -> value.length).orElse(-1));
				out.write(record.value().orElse(new byte[0]));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	static StoreBatch decode(byte[] bytes) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
			if (in.readInt() != MARK) {
				throw new StoreException("The relay's answer has another format", false);
			}
			long age = in.readLong();
			long next = in.readLong();
			long era = in.readLong();
			int count = in.readInt();
			List<StoreRecord> records = new ArrayList<>();
			for (int index = 0; index < count; index++) {
				String key = in.readUTF();
				long offset = in.readLong();
				int length = in.readInt();
				Optional<byte[]> value = Optional.empty();
				if (length >= 0) {
					byte[] bytesOfValue = new byte[Math.min(length, bytes.length)];
					in.readFully(bytesOfValue);
					value = Optional.of(bytesOfValue);
				}
				records.add(new StoreRecord(key, value, offset));
			}
			return new StoreBatch(records, next, age, era);
		}
		catch (IOException ex) {
			throw new StoreException("The relay's answer cannot be read", false);
		}
	}

}
