package org.ebonyford.gateway.wire;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;

import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.gateway.http.HttpCalls;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.placement.ReportedLoad;
import org.ebonyford.placement.Work;
import org.ebonyford.rollout.RolloutOrder;
import org.ebonyford.rollout.RolloutStatus;

/**
 * Translates between a platform and the gateway.
 */
public interface Adapter {

	/**
	 * Returns the names of the headers.
	 * @return the names
	 */
	HeaderNames headers();

	/**
	 * Reads the work that a request asks of a model engine.
	 * @param headers the headers of the request
	 * @return the work, as far as the headers tell it
	 */
	Work work(HttpHeaders headers);

	/**
	 * Reads what an upstream states about its load.
	 * @param headers the headers of its answer
	 * @param now the time in milliseconds
	 * @return the load, or empty if the headers do not state it completely
	 */
	Optional<ReportedLoad> reportedLoad(HttpHeaders headers, long now);

	/**
	 * Reads a record of the operator.
	 * @param key the key of the record
	 * @param value the value, empty if the record was removed
	 * @return what it says, or empty if it cannot be read or concerns nothing known
	 */
	Optional<OperatorRecord> operatorRecord(String key, Optional<byte[]> value);

	/**
	 * Encodes what the operator is told of a roll-out.
	 * @param order the order
	 * @param status the status
	 * @return the record to write
	 */
	StoreRecord rolloutStatus(RolloutOrder order, RolloutStatus status);

	/**
	 * Reads a record of an upstream.
	 * @param id the identifier of the upstream
	 * @param value the value of the record
	 * @return the entry, or empty if the record cannot be read
	 */
	Optional<UpstreamEntry> upstream(String id, byte[] value);

	/**
	 * Returns a client of the store.
	 * @param calls the means to call it
	 * @param address the address of the store
	 * @return the client
	 */
	MetadataStore store(HttpCalls calls, InetSocketAddress address);

	/**
	 * Returns whether engines may be given only as many prompts as they prefill without
	 * pausing their streams for too long.
	 * @param terms the names of the platform's terms that are in force
	 * @return {@code true} if the terms call for it
	 */
	default boolean limitsPrefill(Set<String> terms) {
		return false;
	}

	/**
	 * Returns the path at which the balancer asks for readiness.
	 * @return the path
	 */
	String readinessPath();

}
