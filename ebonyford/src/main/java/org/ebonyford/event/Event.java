package org.ebonyford.event;

import java.util.List;
import java.util.Optional;

import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.load.LoadReport;
import org.ebonyford.membership.VmList;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Request;
import org.ebonyford.request.StoredAnswer;

/**
 * Something that happened to a router.
 */
public sealed interface Event {

	/**
	 * Returns when the event happened.
	 * @return the router's clock reading in milliseconds
	 */
	long at();

	/**
	 * Time passed.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 */
	record Tick(long at, long epochMillis) implements Event {

	}

	/**
	 * A caller's request arrived whole.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param request the facts about the request
	 */
	record RequestArrived(long at, Request request) implements Event {

	}

	/**
	 * A caller closed its connection before it had its whole answer.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param request the request
	 */
	record CallerLeft(long at, RequestId request) implements Event {

	}

	/**
	 * An exchange with an upstream ended.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param request the request
	 * @param ending how the exchange ended
	 * @param cost the true cost in tokens or calls, 0 if the request did not run
	 * @param answer the upstream's answer to a request with an idempotency key, if it is
	 * small enough to keep
	 * @param answering whether a part of the upstream's answer already went to the caller
	 */
	record ExchangeEnded(long at, RequestId request, Ending ending, long cost, Optional<StoredAnswer> answer,
			boolean answering) implements Event {

	}

	/**
	 * An upstream reported its load.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param upstream the upstream
	 * @param report the report, or empty if the upstream could not be asked
	 */
	record LoadReported(long at, UpstreamId upstream, Optional<LoadReport> report) implements Event {

	}

	/**
	 * The platform's list of VMs was read.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param list the list
	 */
	record VmListRead(long at, VmList list) implements Event {

	}

	/**
	 * A message of another router arrived.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param from the process that sent it
	 * @param message the message
	 */
	record MessageReceived(long at, Incarnation from, PeerMessage message) implements Event {

	}

	/**
	 * The control stream of the log was read.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param first the lowest offset that the log still keeps
	 * @param next the offset that follows the last record that was read
	 * @param end the offset that follows the last record in the log
	 * @param records the records in the order of their offsets
	 */
	record ControlRead(long at, long first, long next, long end, List<ControlRecord> records) implements Event {

	}

	/**
	 * The claims stream of the log was read.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param first the lowest offset that the log still keeps
	 * @param next the offset that follows the last record that was read
	 * @param end the offset that follows the last record in the log
	 * @param records the statements in the order of the log
	 */
	record ClaimsRead(long at, long first, long next, long end, List<ClaimRecord> records) implements Event {

	}

	/**
	 * The log could not be read.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param stream the name of the stream
	 */
	record LogUnreachable(long at, String stream) implements Event {

	}

	/**
	 * An append to the log ended.
	 *
	 * @param at the router's clock reading in milliseconds
	 * @param append the number of the append among all appends of this process
	 * @param result how it ended
	 */
	record AppendEnded(long at, long append, Result result) implements Event {

		/**
		 * How an append ended.
		 */
		public enum Result {

			/** The records are in the log. */
			APPENDED,

			/** The records are not in the log and will not be. */
			FAILED,

			/** The records may be in the log. */
			UNKNOWN

		}

	}

	/**
	 * The process was asked to stop.
	 *
	 * @param at the router's clock reading in milliseconds
	 */
	record StopRequested(long at) implements Event {

	}

}
