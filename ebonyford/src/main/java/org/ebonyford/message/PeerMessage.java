package org.ebonyford.message;

import java.util.List;

import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.Fingerprint;
import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.membership.VmList;
import org.ebonyford.request.Ending;

/**
 * A message from one router to another. Messages may be lost with the connection that
 * carries them, and those on one connection arrive in the order in which they were sent.
 */
public sealed interface PeerMessage {

	/**
	 * Tells that the sender lives and how recent its knowledge is.
	 *
	 * @param sentAt the sender's clock reading in milliseconds
	 * @param controlVersion the version of the control state in force at the sender, or
	 * -1 if there is none
	 * @param listRevision the revision of the VM list that the sender follows, or -1 if
	 * there is none
	 * @param stopping whether the sender is about to stop
	 */
	record Heartbeat(long sentAt, long controlVersion, long listRevision, boolean stopping) implements PeerMessage {

	}

	/**
	 * Tells an owner of slots all that the sender has waiting for a pool. It replaces the
	 * sender's earlier demand.
	 *
	 * @param pool the pool
	 * @param sentAt the sender's clock reading in milliseconds, which grants echo
	 * @param lines the waiting requests, one line for each organisation with at least one
	 */
	record Demand(PoolId pool, long sentAt, List<Line> lines) implements PeerMessage {

		/**
		 * Creates a demand.
		 */
		public Demand {
			lines = List.copyOf(lines);
		}

		/**
		 * The waiting requests of one organisation.
		 *
		 * @param organisation the organisation
		 * @param count how many requests wait
		 * @param costHint the expected cost of the first one
		 * @param waitedMillis how long the first one has waited
		 */
		public record Line(OrganisationId organisation, int count, long costHint, long waitedMillis) {

		}

	}

	/**
	 * Permits the receiver to send one request to an upstream.
	 *
	 * @param grant the name of the permission
	 * @param upstream the upstream
	 * @param upstreamIncarnation the incarnation of the upstream that the permission
	 * holds for
	 * @param slot the slot of the upstream that the request occupies
	 * @param pool the pool of the upstream
	 * @param organisation the organisation whose request may be sent
	 * @param charged the cost that was charged in advance
	 * @param echo the clock reading of the receiver that its last demand carried
	 * @param validMillis the milliseconds from the echoed reading within which the
	 * request must be sent
	 */
	record Grant(GrantId grant, UpstreamId upstream, long upstreamIncarnation, int slot, PoolId pool,
			OrganisationId organisation, long charged, long echo, long validMillis) implements PeerMessage {

	}

	/**
	 * Tells an owner that a permission was used up or is handed back.
	 *
	 * @param grant the name of the permission
	 * @param ending how the exchange ended, where {@link Ending#NOT_SENT} hands the
	 * permission back
	 * @param cost the true cost, 0 if the request did not run
	 */
	record GrantEnded(GrantId grant, Ending ending, long cost) implements PeerMessage {

	}

	/**
	 * Tells an owner of slots all that the sender's running requests occupy at the
	 * upstreams of which the receiver owns at least one slot.
	 *
	 * @param sentAt the sender's clock reading in milliseconds
	 * @param slots the occupied slots, those of other owners among them
	 */
	record Occupied(long sentAt, List<Slot> slots) implements PeerMessage {

		/**
		 * Creates a message.
		 */
		public Occupied {
			slots = List.copyOf(slots);
		}

		/**
		 * One occupied slot.
		 *
		 * @param upstream the upstream
		 * @param slot the slot of the upstream
		 * @param grant the permission under which the slot is occupied
		 * @param organisation the organisation that occupies it
		 */
		public record Slot(UpstreamId upstream, int slot, GrantId grant, OrganisationId organisation) {

		}

	}

	/**
	 * Tells the service that one process has charged, in totals that only grow. Without
	 * any rows it tells that another process took over the totals of this one and of all
	 * earlier ones on the same VM.
	 *
	 * @param origin the process that charged the service
	 * @param pool the pool that the service was given in
	 * @param rows the organisations whose totals changed
	 */
	record Service(Incarnation origin, PoolId pool, List<Row> rows) implements PeerMessage {

		/**
		 * Creates a message.
		 */
		public Service {
			rows = List.copyOf(rows);
		}

		/**
		 * The totals of one organisation.
		 *
		 * @param organisation the organisation
		 * @param charged all that was charged
		 * @param refunded all that was refunded
		 * @param lift the virtual service by which the organisation was lifted
		 * @param backlogged whether the origin knows of waiting requests of the
		 * organisation
		 */
		public record Row(OrganisationId organisation, long charged, long refunded, long lift, boolean backlogged) {

		}

	}

	/**
	 * Asks for what the receiver knows that is newer.
	 *
	 * @param controlVersion the version of the sender's control state, or -1 if there is
	 * none
	 * @param listRevision the revision of the sender's VM list, or -1 if there is none
	 */
	record Fetch(long controlVersion, long listRevision) implements PeerMessage {

	}

	/**
	 * Relays the control state in force at the sender.
	 *
	 * @param state the state
	 */
	record Control(ControlState state) implements PeerMessage {

	}

	/**
	 * Relays the VM list that the sender follows.
	 *
	 * @param list the list
	 */
	record Members(VmList list) implements PeerMessage {

	}

	/**
	 * Tells that a request was running on an upstream that crashed.
	 *
	 * @param fingerprint the digest of the request
	 * @param upstream the upstream
	 * @param upstreamIncarnation the incarnation of the upstream that crashed
	 * @param alone how many requests were running at the sender on that upstream
	 */
	record Crash(Fingerprint fingerprint, UpstreamId upstream, long upstreamIncarnation,
			int alone) implements PeerMessage {

	}

	/**
	 * Asks the holder of a claim what became of it.
	 *
	 * @param claimId the name of the claim
	 */
	record ClaimQuery(String claimId) implements PeerMessage {

	}

	/**
	 * Answers what became of a claim.
	 *
	 * @param claimId the name of the claim
	 * @param running whether the request still runs at the sender
	 * @param record the final statement, empty if there is none
	 */
	record ClaimStatus(String claimId, boolean running, List<ClaimRecord> record) implements PeerMessage {

		/**
		 * Creates a message.
		 */
		public ClaimStatus {
			record = List.copyOf(record);
		}

	}

	/**
	 * Asks the receiver to append statements to the claims stream together with its own.
	 * The sender reads in the log whether that was done.
	 *
	 * @param statements the statements
	 */
	record ClaimHandOver(List<ClaimRecord> statements) implements PeerMessage {

		/**
		 * Creates a message.
		 */
		public ClaimHandOver {
			statements = List.copyOf(statements);
		}

	}

	/**
	 * Tells that the sender appends none of the statements that it was handed last.
	 *
	 * @param claimIds the names of the claims that the statements are about
	 */
	record ClaimsDeclined(List<String> claimIds) implements PeerMessage {

		/**
		 * Creates a message.
		 */
		public ClaimsDeclined {
			claimIds = List.copyOf(claimIds);
		}

	}

}
