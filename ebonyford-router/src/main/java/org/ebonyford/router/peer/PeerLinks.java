package org.ebonyford.router.peer;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.zip.Deflater;

import com.codahale.metrics.MetricRegistry;

import org.ebonyford.effect.Effect;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.VmId;
import org.ebonyford.router.EffectHandler;
import org.ebonyford.router.generated.Envelope;

/**
 * Sends messages to other routers over one link each. It is used by one thread.
 */
public final class PeerLinks implements EffectHandler, AutoCloseable {

	/**
	 * The process that sends the messages.
	 */
	private final Incarnation self;

	/**
	 * The settings.
	 */
	private final PeerSettings settings;

	/**
	 * Counts what is sent.
	 */
	private final PeerTraffic traffic;

	/**
	 * Deflates what is sent.
	 */
	private final Deflater deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);

	/**
	 * The links by the VM that they lead to.
	 */
	private final Map<VmId, PeerLink> links = new HashMap<>();

	/**
	 * Creates links, of which there are none until peers are known.
	 * @param self the process that sends the messages
	 * @param settings the settings
	 * @param registry counts what is sent
	 */
	public PeerLinks(Incarnation self, PeerSettings settings, MetricRegistry registry) {
		this.self = self;
		this.settings = settings;
		this.traffic = new PeerTraffic(registry);
	}

	@Override
	public void handle(Effect effect) {
		if (effect instanceof Effect.ToPeer message) {
			send(message);
		}
		else if (effect instanceof Effect.ConnectPeers peers) {
			connect(peers.addresses());
		}
	}

	@Override
	public void flush() {
		this.links.values().forEach(PeerLink::flush);
	}

	private void send(Effect.ToPeer message) {
		PeerLink link = this.links.get(message.to());
		if (link == null) {
			this.traffic.dropped();
			return;
		}
		Envelope envelope = PeerCodec.encode(this.self, message.message());
		link.add(envelope);
	}

	private void connect(Map<VmId, String> addresses) {
		Iterator<Map.Entry<VmId, PeerLink>> present = this.links.entrySet().iterator();
		while (present.hasNext()) {
			Map.Entry<VmId, PeerLink> entry = present.next();
			if (!entry.getValue().address().equals(addresses.get(entry.getKey()))) {
				entry.getValue().close();
				present.remove();
			}
		}
		addresses.forEach((vm, address) -> this.links.computeIfAbsent(vm,
				(absent) -> new PeerLink(address, this.settings, this.traffic, this.deflater)));
	}

	@Override
	public void close() {
		this.links.values().forEach(PeerLink::close);
		this.links.clear();
	}

}
