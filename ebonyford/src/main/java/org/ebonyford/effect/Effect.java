package org.ebonyford.effect;

import java.util.List;
import java.util.Map;

import org.ebonyford.claim.ClaimRecord;
import org.ebonyford.configuration.Configuration;
import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.evidence.EvidenceBatch;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.log.LogEvent;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.request.Refusal;
import org.ebonyford.request.StoredAnswer;

/**
 * Something that a router is to do.
 */
public sealed interface Effect {

	/**
	 * Send a request to an upstream, unless the time for it has passed.
	 *
	 * @param request the request
	 * @param upstream the upstream
	 * @param address the host and port of the upstream
	 * @param notAfter the clock reading in milliseconds after which the request must not
	 * be sent
	 */
	record Send(RequestId request, UpstreamId upstream, String address, long notAfter) implements Effect {

	}

	/**
	 * Give a request its final answer.
	 *
	 * @param request the request
	 * @param refusal the answer
	 */
	record Refuse(RequestId request, Refusal refusal) implements Effect {

	}

	/**
	 * Give a request the answer that an earlier one with the same key got.
	 *
	 * @param request the request
	 * @param answer the answer
	 */
	record Replay(RequestId request, StoredAnswer answer) implements Effect {

	}

	/**
	 * Cancel the exchange that serves a request.
	 *
	 * @param request the request
	 */
	record Cancel(RequestId request) implements Effect {

	}

	/**
	 * Send a message to another router.
	 *
	 * @param to the VM of the router
	 * @param message the message
	 */
	record ToPeer(VmId to, PeerMessage message) implements Effect {

	}

	/**
	 * Append statements to the claims stream as one record of the log.
	 *
	 * @param append the number of the append
	 * @param records the statements
	 */
	record AppendClaims(long append, List<ClaimRecord> records) implements Effect {

		/**
		 * Creates an effect.
		 */
		public AppendClaims {
			records = List.copyOf(records);
		}

	}

	/**
	 * Append a state to the control stream. The offset and the time in the record are not
	 * set.
	 *
	 * @param append the number of the append
	 * @param record the proposed state
	 */
	record AppendControl(long append, ControlRecord record) implements Effect {

	}

	/**
	 * Append evidence to the evidence stream.
	 *
	 * @param batch the evidence
	 */
	record AppendEvidence(EvidenceBatch batch) implements Effect {

	}

	/**
	 * Tell the platform's balancer whether the router takes requests.
	 *
	 * @param ready whether it takes requests
	 * @param reason why it does not, empty if it does
	 */
	record Readiness(boolean ready, String reason) implements Effect {

	}

	/**
	 * Write a numbered event to the log of the process.
	 *
	 * @param event the event
	 * @param subject what the event is about
	 */
	record Note(LogEvent event, String subject) implements Effect {

	}

	/**
	 * Keep links to these routers and to no others.
	 *
	 * @param addresses the host and port of each router's own interface
	 */
	record ConnectPeers(Map<VmId, String> addresses) implements Effect {

		/**
		 * Creates an effect.
		 */
		public ConnectPeers {
			addresses = Map.copyOf(addresses);
		}

	}

	/**
	 * Ask these upstreams for their load, and no others.
	 *
	 * @param addresses the host and port of each upstream
	 */
	record WatchUpstreams(Map<UpstreamId, String> addresses) implements Effect {

		/**
		 * Creates an effect.
		 */
		public WatchUpstreams {
			addresses = Map.copyOf(addresses);
		}

	}

	/**
	 * Serve callers under a configuration from now on.
	 *
	 * @param state the control state that came into force
	 * @param configuration the configuration in it
	 */
	record Configure(ControlState state, Configuration configuration) implements Effect {

	}

	/**
	 * End the process, since nothing is left to do.
	 */
	record Exit() implements Effect {

	}

}
