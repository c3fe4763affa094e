package org.ebonyford.router.evidence;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.ebonyford.evidence.EvidenceBatch;

/**
 * Translates evidence to and from the bodies of records in the evidence stream.
 */
final class EvidenceCodec {

	/**
	 * Reads and writes JSON. Properties of later versions are ignored.
	 */
	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	/**
	 * Encodes a batch.
	 * @param batch the batch
	 * @return the body of one record of the log
	 */
	byte[] encode(EvidenceBatch batch) {
		try {
			return this.mapper.writeValueAsBytes(batch);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes the body of a record of the log.
	 * @param body the body
	 * @return the batch, or empty if the body is not one that a router wrote
	 */
	Optional<EvidenceBatch> decode(byte[] body) {
		try {
			return Optional.of(this.mapper.readValue(body, EvidenceBatch.class));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
