package org.ebonyford.router.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.ebonyford.configuration.Pool;
import org.ebonyford.request.StoredAnswer;
import org.ebonyford.router.caller.HeaderField;
import org.ebonyford.router.caller.PendingRequest;

/**
 * Passes an upstream's answer on to its caller and checks that it is whole.
 */
interface Relay {

	/**
	 * Takes a piece of the answer.
	 * @param bytes the piece
	 * @return whether the answer is whole already
	 * @throws BrokenAnswerException if the answer can't be right
	 */
	boolean data(byte[] bytes) throws BrokenAnswerException;

	/**
	 * Takes the end of the transfer.
	 * @throws BrokenAnswerException if the answer is not whole
	 */
	void end() throws BrokenAnswerException;

	/**
	 * Returns the number of the last event that was passed on.
	 * @return the number, -1 if no event was, or empty if the answer can't be resumed
	 */
	OptionalLong resumePoint();

	/**
	 * Prepares for the continuation of the answer on another connection.
	 */
	void resume();

	/**
	 * Returns the tokens that the answer told.
	 * @return the tokens, or empty if it told none
	 */
	OptionalLong tokens();

	/**
	 * Returns the answer if it may be kept for a repeat of its request.
	 * @return the answer, or empty if it is too large or no text
	 */
	Optional<StoredAnswer> stored();

	/**
	 * The head of an answer.
	 *
	 * @param status the HTTP status code
	 * @param contentType the media type of the body
	 * @param headers the headers for the caller
	 * @param length the declared bytes of the body, or empty if none are declared
	 */
	record Head(int status, String contentType, List<HeaderField> headers, OptionalLong length) {

		/**
		 * Returns the headers of an answer that is passed on while it comes.
		 * @return the headers with the declared length, so that a cut shows
		 */
		private List<HeaderField> declaring() {
			List<HeaderField> all = new ArrayList<>(this.headers);
			this.length.ifPresent((bytes) -> all.add(new HeaderField("Content-Length", Long.toString(bytes))));
			return all;
		}

	}

	/**
	 * Keeps the beginning of an answer of text for a repeat of its request.
	 */
	final class Copy {

		/**
		 * The bytes that a text of the allowed number of characters has at most.
		 */
		private static final int MAX_BYTES = 3 * StoredAnswer.MAX_BODY;

		/**
		 * The head of the answer.
		 */
		private final Head head;

		/**
		 * The body as far as it came, {@code null} if it is not kept.
		 */
		private ByteArrayOutputStream body;

		/**
		 * Creates a copy.
		 * @param head the head of the answer
		 * @param wanted whether the answer is to be kept
		 */
		Copy(Head head, boolean wanted) {
			this.head = head;
			this.body = wanted ? new ByteArrayOutputStream() : null;
		}

		/**
		 * Adds a piece.
		 * @param bytes the piece
		 */
		void add(byte[] bytes) {
			if (this.body != null && this.body.size() + bytes.length <= MAX_BYTES) {
				this.body.writeBytes(bytes);
				return;
			}
			this.body = null;
		}

		/**
		 * Returns the answer.
		 * @return the answer, or empty if it is not wanted, too large or no text
		 */
		Optional<StoredAnswer> stored() {
			if (this.body == null) {
				return Optional.empty();
			}
			try {
				ByteBuffer bytes = ByteBuffer.wrap(this.body.toByteArray());
				String text = StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
				return Optional.of(new StoredAnswer(this.head.status(), this.head.contentType(), text))
					.filter((answer) -> answer.body().length() <= StoredAnswer.MAX_BODY);
			}
			catch (CharacterCodingException ex) {
				return Optional.empty();
			}
		}

	}

	/**
	 * Passes on an answer without regard to its structure. A small answer is held back
	 * until it is whole, so that nothing of a broken one reaches the caller.
	 */
	final class OfBytes implements Relay {

		/**
		 * The request.
		 */
		private final PendingRequest pending;

		/**
		 * The head of the answer.
		 */
		private final Head head;

		/**
		 * Bounds what is kept for the caller.
		 */
		private final Flow flow;

		/**
		 * The bytes that are held back at most.
		 */
		private final int maxHeld;

		/**
		 * Keeps the answer for a repeat.
		 */
		private final Copy copy;

		/**
		 * Reads the tokens out of an engine's answer.
		 */
		private final UsageReader usage = new UsageReader();

		/**
		 * What is held back, {@code null} once the answer has started.
		 */
		private ByteArrayOutputStream held = new ByteArrayOutputStream();

		/**
		 * Creates a relay.
		 * @param pending the request
		 * @param head the head of the answer
		 * @param flow bounds what is kept for the caller
		 * @param maxHeld the bytes that are held back at most
		 */
		OfBytes(PendingRequest pending, Head head, Flow flow, int maxHeld) {
			this.pending = pending;
			this.head = head;
			this.flow = flow;
			this.maxHeld = maxHeld;
			this.copy = new Copy(head, pending.request().key().isPresent());
		}

		@Override
		public boolean data(byte[] bytes) {
			this.copy.add(bytes);
			if (this.pending.content().kind() == Pool.Kind.ENGINE) {
				this.usage.read(bytes);
			}
			if (this.held != null && this.held.size() + bytes.length <= this.maxHeld) {
				this.held.writeBytes(bytes);
				this.flow.delivered(bytes.length, this.held.size());
				return false;
			}
			start();
			this.flow.delivered(bytes.length, 0);
			this.pending.answer().write(bytes);
			return false;
		}

		@Override
		public void end() {
			if (this.held == null) {
				this.pending.answer().finish();
				return;
			}
			this.pending.timing().firstByte();
			this.pending.answer().whole(this.head.status(), this.head.headers(), this.held.toByteArray());
		}

		@Override
		public OptionalLong resumePoint() {
			return OptionalLong.empty();
		}

		@Override
		public void resume() {
			throw new IllegalStateException("An answer without events can't be resumed");
		}

		@Override
		public OptionalLong tokens() {
			return this.usage.tokens();
		}

		@Override
		public Optional<StoredAnswer> stored() {
			return this.copy.stored();
		}

		private void start() {
			if (this.held == null) {
				return;
			}
			byte[] first = this.held.toByteArray();
			this.held = null;
			this.pending.timing().firstByte();
			this.pending.answer().start(this.head.status(), this.head.declaring(), this.flow::drained);
			if (first.length > 0) {
				this.pending.answer().write(first);
			}
		}

	}

	/**
	 * Passes on an engine's stream event by event, each as soon as it is whole and its
	 * number follows the one before.
	 */
	final class OfEvents implements Relay {

		/**
		 * The request.
		 */
		private final PendingRequest pending;

		/**
		 * The head of the answer.
		 */
		private final Head head;

		/**
		 * Bounds what is kept for the caller.
		 */
		private final Flow flow;

		/**
		 * The bytes that one event may have.
		 */
		private final int maxEvent;

		/**
		 * Keeps the answer for a repeat.
		 */
		private final Copy copy;

		/**
		 * Cuts the stream into events.
		 */
		private EventStreamReader reader;

		/**
		 * The number of the last event that was passed on.
		 */
		private long last = -1;

		/**
		 * Whether the answer has started.
		 */
		private boolean started;

		/**
		 * Whether the last event was passed on.
		 */
		private boolean done;

		/**
		 * The tokens that the stream told.
		 */
		private OptionalLong tokens = OptionalLong.empty();

		/**
		 * Creates a relay.
		 * @param pending the request
		 * @param head the head of the answer
		 * @param flow bounds what is kept for the caller
		 * @param maxEvent the bytes that one event may have
		 */
		OfEvents(PendingRequest pending, Head head, Flow flow, int maxEvent) {
			this.pending = pending;
			this.head = head;
			this.flow = flow;
			this.maxEvent = maxEvent;
			this.copy = new Copy(head, pending.request().key().isPresent());
			this.reader = new EventStreamReader(maxEvent);
		}

		@Override
		public boolean data(byte[] bytes) throws BrokenAnswerException {
			List<ServerSentEvent> events = this.reader.read(bytes);
			this.flow.delivered(bytes.length, this.reader.held());
			for (ServerSentEvent event : events) {
				pass(event);
				if (this.done) {
					this.pending.answer().finish();
					return true;
				}
			}
			return false;
		}

		@Override
		public void end() throws BrokenAnswerException {
			throw new BrokenAnswerException("The stream ended without its last event");
		}

		@Override
		public OptionalLong resumePoint() {
			return OptionalLong.of(this.last);
		}

		@Override
		public void resume() {
			this.reader = new EventStreamReader(this.maxEvent);
		}

		@Override
		public OptionalLong tokens() {
			return this.tokens;
		}

		@Override
		public Optional<StoredAnswer> stored() {
			return this.copy.stored();
		}

		private void pass(ServerSentEvent event) throws BrokenAnswerException {
			check(event);
			if (!this.started) {
				this.started = true;
				this.pending.timing().firstByte();
				this.pending.answer().start(this.head.status(), this.head.headers(), this.flow::drained);
			}
			this.pending.timing().event();
			this.pending.answer().write(event.raw());
			this.copy.add(event.raw());
			this.done = event.isLast();
			OptionalLong told = event.data().map(UsageReader::ofEvent).orElse(OptionalLong.empty());
			this.tokens = told.isPresent() ? told : this.tokens;
		}

		private void check(ServerSentEvent event) throws BrokenAnswerException {
			boolean numbered = event.id().isPresent();
			if (!numbered && event.data().isPresent() && !event.isLast()) {
				throw new BrokenAnswerException("An event has no number");
			}
			if (numbered && event.id().getAsLong() != this.last + 1) {
				throw new BrokenAnswerException("An event is doubled or missing");
			}
			this.last = numbered ? event.id().getAsLong() : this.last;
		}

	}

}
