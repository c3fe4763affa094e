package org.ebonyford.router.peer;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import javax.net.ssl.SSLException;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;

import org.ebonyford.router.generated.Envelope;
import org.ebonyford.router.generated.PeerGrpc;
import org.ebonyford.router.generated.Receipt;

/**
 * A link to one other router, which is opened when there is something to send and opened
 * anew after it broke. What was on its way when it broke is lost.
 */
final class PeerLink implements AutoCloseable {

	/**
	 * The bytes from which a message is compressed.
	 */
	private static final int MIN_COMPRESSED_BYTES = 160;

	/**
	 * /** The host and port that the link leads to.
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
	 */
	PeerLink(String address, PeerSettings settings, PeerTraffic traffic) {
		this.address = address;
		this.settings = settings;
		this.traffic = traffic;
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
	 * Sends a message, or gives it up if the link is down.
	 * @param envelope the message
	 */
	void send(Envelope envelope) {
		Outbound present = this.stream;
		if (present == null || present.broken) {
			present = new Outbound();
			PeerGrpc.newStub(this.channel).withCallCredentials(new SharedSecret(this.settings.secret(), () -> {
			})).deliver(present);
			this.stream = present;
		}
		present.send(envelope);
	}

	@Override
	public void close() {
		this.channel.shutdownNow();
	}

	/**
	 * One stream of messages to the other router.
	 */
	private final class Outbound implements ClientResponseObserver<Envelope, Receipt> {

		/**
		 * The messages that were handed over while the stream could not take them.
		 */
		private final AtomicInteger unsent = new AtomicInteger();

		/**
		 * The sending half of the stream.
		 */
		private ClientCallStreamObserver<Envelope> requests;

		/**
		 * Whether the stream broke.
		 */
		private volatile boolean broken;

		@Override
		public void beforeStart(ClientCallStreamObserver<Envelope> stream) {
			this.requests = stream;
			stream.setOnReadyHandler(() -> this.unsent.set(0));
		}

		private void send(Envelope envelope) {
			if (!this.requests.isReady() && this.unsent.incrementAndGet() > PeerLink.this.settings.maxUnsent()) {
				PeerLink.this.traffic.dropped();
				abandon();
				return;
			}
			PeerLink.this.traffic.sent(envelope);
			this.requests.setMessageCompression(envelope.getSerializedSize() >= MIN_COMPRESSED_BYTES);
			this.requests.onNext(envelope);
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
