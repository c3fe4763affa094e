package org.ebonyford.evidence;

import java.util.List;
import java.util.Objects;

import org.ebonyford.claim.ClaimKey;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.RefusalReason;

/**
 * All that one process has to show for a period. The batches of a process are numbered
 * and their periods follow one another, so that a missing one is seen.
 *
 * @param router the process
 * @param sequence the number of the batch, from 0
 * @param from the wall-clock time in milliseconds at which the period begins
 * @param to the wall-clock time in milliseconds before which the period ends
 * @param last whether the process stops after this batch
 * @param seconds the work for each second and organisation
 * @param sends the requests sent in each second to each data centre
 * @param claims how requests that may not be repeated ended
 * @param versions the control states that came into force at the process
 * @param members the VMs on the list of routers, empty if the list did not change
 */
public record EvidenceBatch(Incarnation router, long sequence, long from, long to, boolean last, List<Second> seconds,
		List<Sends> sends, List<Claim> claims, List<Version> versions, List<VmId> members) {

	/**
	 * Creates a batch.
	 * @throws NullPointerException if an argument is {@code null}
	 */
	public EvidenceBatch {
		Objects.requireNonNull(router, "router");
		seconds = List.copyOf(seconds);
		sends = List.copyOf(sends);
		claims = List.copyOf(claims);
		versions = List.copyOf(versions);
		members = List.copyOf(members);
	}

	/**
	 * The work for one organisation in one second.
	 *
	 * @param second the wall-clock time in seconds since the epoch
	 * @param organisation the organisation
	 * @param weight the weight of its plan
	 * @param service the cost of what was served
	 * @param backlog the most requests that waited
	 * @param refusals the refusals by reason
	 */
	public record Second(long second, OrganisationId organisation, int weight, long service, int backlog,
			List<Refusals> refusals) {

		/**
		 * Creates a row.
		 */
		public Second {
			refusals = List.copyOf(refusals);
		}

	}

	/**
	 * The refusals for one reason.
	 *
	 * @param reason the reason
	 * @param count the number of refusals
	 */
	public record Refusals(RefusalReason reason, int count) {

	}

	/**
	 * The requests sent to one data centre in one second.
	 *
	 * @param second the wall-clock time in seconds since the epoch
	 * @param dataCentre the data centre of the upstreams
	 * @param count the number of requests
	 */
	public record Sends(long second, DataCentreId dataCentre, int count) {

	}

	/**
	 * How one request that may not be repeated ended.
	 *
	 * @param at the wall-clock time in milliseconds
	 * @param key the key of the request
	 * @param request the request
	 * @param sent whether this process sent it
	 * @param outcome what the caller was told
	 */
	public record Claim(long at, ClaimKey key, RequestId request, boolean sent, Outcome outcome) {

	}

	/**
	 * A control state that came into force.
	 *
	 * @param at the wall-clock time in milliseconds
	 * @param version the version of the state
	 * @param dataCentresOut the data centres that are out of service
	 * @param vmsOut the VMs that are out of service
	 * @param upstreamsOut the upstreams that are out of service
	 */
	public record Version(long at, long version, List<DataCentreId> dataCentresOut, List<VmId> vmsOut,
			List<UpstreamId> upstreamsOut) {

		/**
		 * Creates a row.
		 */
		public Version {
			dataCentresOut = List.copyOf(dataCentresOut);
			vmsOut = List.copyOf(vmsOut);
			upstreamsOut = List.copyOf(upstreamsOut);
		}

	}

}
