package org.ebonyford.router.peer;

import java.util.Locale;

import com.codahale.metrics.MetricRegistry;

import org.ebonyford.router.generated.Envelope;

/**
 * Counts the messages and bytes that go between routers.
 */
final class PeerTraffic {

	/**
	 * The registry that keeps the counts.
	 */
	private final MetricRegistry registry;

	/**
	 * Creates the counts.
	 * @param registry the registry that keeps them
	 */
	PeerTraffic(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Counts a message that was sent.
	 * @param envelope the message
	 */
	void sent(Envelope envelope) {
		count("sent", envelope);
	}

	/**
	 * Counts a frame of messages that was sent.
	 * @param bytes the bytes of the frame
	 */
	void framed(int bytes) {
		this.registry.counter("peer.sent.frames").inc();
		this.registry.counter("peer.sent.frames.bytes").inc(bytes);
	}

	/**
	 * Counts a message that was received.
	 * @param envelope the message
	 */
	void received(Envelope envelope) {
		count("received", envelope);
	}

	/**
	 * Counts a message that was given up since its link is down.
	 */
	void dropped() {
		this.registry.counter("peer.dropped.messages").inc();
	}

	private void count(String direction, Envelope envelope) {
		String prefix = "peer." + direction + ".";
		this.registry.counter(prefix + "messages").inc();
		this.registry.counter(prefix + "bytes").inc(envelope.getSerializedSize());
		String kind = envelope.getBodyCase().name().toLowerCase(Locale.ROOT);
		this.registry.counter(prefix + "messages." + kind).inc();
		this.registry.counter(prefix + "bytes." + kind).inc(envelope.getSerializedSize());
	}

}
