package org.ebonyford.router.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.Deflater;

import javax.net.ssl.SSLException;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ClientResponseObserver;

import org.ebonyford.router.generated.Envelope;
import org.ebonyford.router.generated.Receipt;

/**
 * A link to one other router, which is opened when there is something to send and opened
 * anew after it broke. What was on its way when it broke is lost.
 */
final class PeerLink implements AutoCloseable {

	/**
	 * The host and port that the link leads to.
	 */
	private final String address;

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
	private final Deflater deflater;

	/**
	 * The messages that go out together next.
	 */
	private final List<Envelope> gathered = new ArrayList<>();

	/**
	 * The channel that the link's streams use.
	 */
	private final ManagedChannel channel;

	/**
	 * The open stream, {@code null} if there is none.
	 */
	private volatile Outbound stream;

	/**
	 * Creates a link.
	 * @param address the host and port that the link leads to
	 * @param settings the settings
	 * @param traffic counts what is sent
	 * @param deflater deflates what is sent, which all links of one thread share
	 */
	PeerLink(String address, PeerSettings settings, PeerTraffic traffic, Deflater deflater) {
		this.address = address;
		this.settings = settings;
		this.traffic = traffic;
		this.deflater = deflater;
		this.channel = open(address, settings);
	}

	private static ManagedChannel open(String address, PeerSettings settings) {
		NettyChannelBuilder builder = NettyChannelBuilder.forTarget(address)
			.keepAliveTime(settings.keepAliveMillis(), TimeUnit.MILLISECONDS)
			.keepAliveTimeout(settings.keepAliveMillis(), TimeUnit.MILLISECONDS)
			.keepAliveWithoutCalls(true)
			.directExecutor()
			.disableRetry();
		if (settings.identity().isEmpty()) {
			return builder.usePlaintext().build();
		}
		return builder.sslContext(sslContext(settings.identity().get())).build();
	}

	private static SslContext sslContext(PeerSettings.TlsIdentity identity) {
		try {
			return GrpcSslContexts.forClient()
				.keyManager(identity.certificate(), identity.key())
				.trustManager(identity.authorities())
				.build();
		}
		catch (SSLException ex) {
			throw new IllegalStateException("The certificates of the peers' interface cannot be used", ex);
		}
	}

	/**
	 * Returns where the link leads to.
	 * @return the host and port
	 */
	String address() {
		return this.address;
	}

	/**
	 * Takes a message that goes out with the next flush.
	 * @param envelope the message
	 */
	void add(Envelope envelope) {
		this.gathered.add(envelope);
	}

	/**
	 * Sends the messages that were taken since the last flush, or gives them up if the
	 * link is down.
	 */
	void flush() {
		if (this.gathered.isEmpty()) {
			return;
		}
		Outbound present = this.stream;
		if (present == null || present.broken) {
			present = open();
			this.stream = present;
		}
		List<Envelope> next = List.copyOf(this.gathered);
		this.gathered.clear();
		present.send(next);
	}

	private Outbound open() {
		Outbound opened = new Outbound();
		SharedSecret credentials = new SharedSecret(this.settings.secret(), () -> {
		});
		CallOptions options = CallOptions.DEFAULT.withCallCredentials(credentials);
		ClientCalls.asyncClientStreamingCall(this.channel.newCall(FrameMethod.DELIVER, options), opened);
		return opened;
	}

	@Override
	public void close() {
		this.channel.shutdownNow();
	}

	/**
	 * One stream of messages to the other router.
	 */
	private final class Outbound implements ClientResponseObserver<byte[], Receipt> {

		/**
		 * The messages that were handed over while the stream could not take them.
		 */
		private final AtomicInteger unsent = new AtomicInteger();

		/**
		 * Packs the messages.
		 */
		private final FrameWriter writer = new FrameWriter(PeerLink.this.deflater);

		/**
		 * The sending half of the stream.
		 */
		private ClientCallStreamObserver<byte[]> requests;

		/**
		 * Whether the stream broke.
		 */
		private volatile boolean broken;

		@Override
		public void beforeStart(ClientCallStreamObserver<byte[]> stream) {
			this.requests = stream;
			stream.setOnReadyHandler(() -> this.unsent.set(0));
		}

		private void send(List<Envelope> envelopes) {
			int waiting = this.requests.isReady() ? 0 : this.unsent.addAndGet(envelopes.size());
			if (waiting > PeerLink.this.settings.maxUnsent()) {
				envelopes.forEach((envelope) -> PeerLink.this.traffic.dropped());
				abandon();
				return;
			}
			envelopes.forEach(PeerLink.this.traffic::sent);
			byte[] frame = this.writer.write(envelopes);
			PeerLink.this.traffic.framed(frame.length);
			this.requests.onNext(frame);
		}

		private void abandon() {
			if (!this.broken) {
				this.broken = true;
				this.requests.cancel("The peer does not keep up", null);
			}
		}

		@Override
		public void onNext(Receipt receipt) {
			this.broken = true;
		}

		@Override
		public void onError(Throwable ex) {
			this.broken = true;
			PeerLink.this.channel.resetConnectBackoff();
		}

		@Override
		public void onCompleted() {
			this.broken = true;
		}

	}

}
