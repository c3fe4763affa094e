package org.ebonyford.router.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.IdempotencyKey;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;
import org.ebonyford.request.StoredAnswer;

/**
 * Translates statements about idempotency keys to and from the bodies of records in the
 * claims stream. A body is a JSON array, since one record carries many statements.
 */
final class ClaimCodec {

	/**
	 * The type of a decoded body.
	 */
	private static final TypeReference<List<Line>> LINES = new TypeReference<>() {
	};

	/**
	 * Reads and writes JSON. Properties of later versions are ignored.
	 */
	private final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
		.setSerializationInclusion(JsonInclude.Include.NON_NULL);

	/**
	 * Encodes statements.
	 * @param records the statements
	 * @return the body of one record of the log
	 */
	byte[] encode(List<ClaimRecord> records) {
		try {
			return this.mapper.writeValueAsBytes(records.stream().map(Line::of).toList());
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes the body of a record of the log.
	 * @param body the body
	 * @return the statements, or empty if the body is not one that a router wrote
	 */
	Optional<List<ClaimRecord>> decode(byte[] body) {
		try {
			return Optional.of(this.mapper.readValue(body, LINES).stream().map(Line::record).toList());
		}
		catch (IOException | IllegalArgumentException | NullPointerException ex) {
			return Optional.empty();
		}
	}

	/**
	 * One statement as it stands in the log.
	 *
	 * @param kind the name of what is stated
	 * @param claim the name of the claim
	 * @param organisation the name of the organisation
	 * @param key the idempotency key
	 * @param fingerprint the digest of the request
	 * @param vm the VM of the holder
	 * @param incarnation the number of the holder's process
	 * @param createdAt the wall-clock time of the claim in milliseconds since the epoch
	 * @param status the status code of the kept answer, or {@code null} if none is kept
	 * @param contentType the media type of the kept answer, or {@code null}
	 * @param body the body of the kept answer, or {@code null}
	 */
	record Line(ClaimRecord.Kind kind, String claim, String organisation, String key, String fingerprint, String vm,
			long incarnation, long createdAt, Integer status, String contentType, String body) {

		/**
		 * Translates a statement.
		 * @param record the statement
		 * @return the statement as it stands in the log
		 */
		static Line of(ClaimRecord record) {
			Optional<StoredAnswer> answer = record.answer();
			return new Line(record.kind(), record.claimId(), record.organisation().value(), record.key().value(),
					record.fingerprint().value(), record.holder().vm().value(), record.holder().number(),
					record.createdAt(), answer.map(StoredAnswer::status).orElse(null),
					answer.map(StoredAnswer::contentType).orElse(null), answer.map(StoredAnswer::body).orElse(null));
		}

		/**
		 * Translates this line.
		 * @return the statement
		 */
		ClaimRecord record() {
			Optional<StoredAnswer> answer = Optional.ofNullable(this.status)
				.map((code) -> new StoredAnswer(code, this.contentType, this.body));
			return new ClaimRecord(this.kind, this.claim, new OrganisationId(this.organisation),
					new IdempotencyKey(this.key), new Fingerprint(this.fingerprint),
					new Incarnation(new VmId(this.vm), this.incarnation), this.createdAt, answer);
		}

	}

}
