package org.ebonyford.rollout;

import java.util.Objects;

/**
 * What a gateway tells the coordinator of a roll-out. Evidence is cumulative, so the
 * latest report of a gateway replaces the earlier ones; another start of the gateway is
 * counted on its own.
 *
 * @param gateway the name of the gateway
 * @param start identifies the start of the gateway
 * @param revision the revision of the order
 * @param step the step of the progress that the gateway has applied, negative if none
 * @param openElsewhere the requests that the gateway has open at other versions than the
 * target
 * @param requests the requests for the service since the gateway knows the order
 * @param evidence the outcomes that it saw
 * @param orderAgeMillis the time since the order as processes have measured it, negative
 * if the gateway does not know it
 */
public record RolloutReport(String gateway, long start, long revision, long step, int openElsewhere, long requests,
		RolloutEvidence evidence, long orderAgeMillis) {

	/**
	 * Creates a report.
	 */
	public RolloutReport {
		Objects.requireNonNull(gateway, "gateway");
		Objects.requireNonNull(evidence, "evidence");
	}

	/**
	 * Creates a report of a gateway that does not know how old the order is.
	 * @param gateway the name of the gateway
	 * @param start identifies the start of the gateway
	 * @param revision the revision of the order
	 * @param step the step of the progress that the gateway has applied
	 * @param openElsewhere the requests open at other versions than the target
	 * @param requests the requests for the service
	 * @param evidence the outcomes
	 */
	public RolloutReport(String gateway, long start, long revision, long step, int openElsewhere, long requests,
			RolloutEvidence evidence) {
		this(gateway, start, revision, step, openElsewhere, requests, evidence, -1);
	}

}
