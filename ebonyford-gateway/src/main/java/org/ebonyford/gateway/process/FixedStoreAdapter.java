package org.ebonyford.gateway.process;

import java.net.InetSocketAddress;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.gateway.http.HttpCalls;
import org.ebonyford.gateway.store.MetadataStore;
import org.ebonyford.gateway.store.StoreRecord;
import org.ebonyford.gateway.wire.Adapter;
import org.ebonyford.gateway.wire.HeaderNames;
import org.ebonyford.gateway.wire.OperatorRecord;
import org.ebonyford.placement.ReportedLoad;
import org.ebonyford.placement.Work;
import org.ebonyford.rollout.RolloutOrder;
import org.ebonyford.rollout.RolloutStatus;

/**
 * Delegates to an adapter but replaces its store, for the training run.
 *
 * @param adapter the adapter to delegate to
 * @param fixedStore the store to use instead
 */
record FixedStoreAdapter(Adapter adapter, MetadataStore fixedStore) implements Adapter {

	@Override
	public HeaderNames headers() {
		return this.adapter.headers();
	}

	@Override
	public Work work(HttpHeaders headers) {
		return this.adapter.work(headers);
	}

	@Override
	public Optional<ReportedLoad> reportedLoad(HttpHeaders headers, long now) {
		return this.adapter.reportedLoad(headers, now);
	}

	@Override
	public Optional<OperatorRecord> operatorRecord(String key, Optional<byte[]> value) {
		return this.adapter.operatorRecord(key, value);
	}

	@Override
	public StoreRecord rolloutStatus(RolloutOrder order, RolloutStatus status) {
		return this.adapter.rolloutStatus(order, status);
	}

	@Override
	public Optional<UpstreamEntry> upstream(String id, byte[] value) {
		return this.adapter.upstream(id, value);
	}

	@Override
	public MetadataStore store(HttpCalls calls, InetSocketAddress address) {
		this.adapter.store(calls, address);
		return this.fixedStore;
	}

	@Override
	public String readinessPath() {
		return this.adapter.readinessPath();
	}

}
