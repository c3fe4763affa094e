package org.ebonyford.router.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.ClientAuth;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;

import org.ebonyford.event.Event;
import org.ebonyford.log.LogEvent;
import org.ebonyford.router.EventSink;
import org.ebonyford.router.generated.Envelope;
import org.ebonyford.router.generated.PeerGrpc;
import org.ebonyford.router.generated.Receipt;
import org.ebonyford.time.Clock;

/**
 * Receives the messages of other routers.
 */
public final class PeerServer implements AutoCloseable {

	/**
	 * The writer of the log.
	 */
	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The bytes that one message may have, which a whole control state fits in.
	 */
	private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

	/**
	 * The share of the senders' probing interval at which probes are still accepted.
	 */
	private static final int PROBE_TOLERANCE = 2;

	/**
	 * The settings.
	 */
	private final PeerSettings settings;

	/**
	 * Takes the messages as events.
	 */
	private final EventSink sink;

	/**
	 * The clock that stamps the events.
	 */
	private final Clock clock;

	/**
	 * Counts what arrives.
	 */
	private final PeerTraffic traffic;

	/**
	 * The server, {@code null} before the start.
	 */
	private Server server;

	/**
	 * Creates a server that does not listen yet.
	 * @param settings the settings
	 * @param sink takes the messages as events
	 * @param clock the clock that stamps the events
	 * @param registry counts what arrives
	 */
	public PeerServer(PeerSettings settings, EventSink sink, Clock clock, MetricRegistry registry) {
		this.settings = settings;
		this.sink = sink;
		this.clock = clock;
		this.traffic = new PeerTraffic(registry);
	}

	/**
	 * Listens for other routers.
	 * @return the port that is listened on
	 * @throws IOException if the port cannot be listened on or a certificate cannot be
	 * read
	 */
	public int start() throws IOException {
		NettyServerBuilder builder = NettyServerBuilder
			.forAddress(new InetSocketAddress(this.settings.host(), this.settings.port()))
			.permitKeepAliveTime(this.settings.keepAliveMillis() / PROBE_TOLERANCE, TimeUnit.MILLISECONDS)
			.permitKeepAliveWithoutCalls(true)
			.maxInboundMessageSize(MAX_MESSAGE_BYTES)
			.directExecutor()
			.intercept(new SharedSecret(this.settings.secret(),
					() -> logger.atWarning()
						.log("%s %s", LogEvent.PEER_REJECTED.code(), LogEvent.PEER_REJECTED.meaning())))
			.addService(inbox());
		if (this.settings.identity().isPresent()) {
			builder.sslContext(sslContext(this.settings.identity().get()));
		}
		this.server = builder.build().start();
		return this.server.getPort();
	}

	private static SslContext sslContext(PeerSettings.TlsIdentity identity) throws IOException {
		return GrpcSslContexts.forServer(identity.certificate(), identity.key())
			.trustManager(identity.authorities())
			.clientAuth(ClientAuth.REQUIRE)
			.build();
	}

	@Override
	public void close() {
		if (this.server != null) {
			this.server.shutdownNow();
		}
	}

	private ServerServiceDefinition inbox() {
		return ServerServiceDefinition.builder(PeerGrpc.SERVICE_NAME)
			.addMethod(FrameMethod.DELIVER, ServerCalls.asyncClientStreamingCall(Inbox::new))
			.build();
	}

	/**
	 * Receives one stream of another router.
	 */
	private final class Inbox implements StreamObserver<byte[]> {

		/**
		 * Takes the answer when the sender closes its stream.
		 */
		private final StreamObserver<Receipt> receipt;

		/**
		 * Unpacks the messages.
		 */
		private final FrameReader reader = new FrameReader(MAX_MESSAGE_BYTES);

		Inbox(StreamObserver<Receipt> receipt) {
			this.receipt = receipt;
		}

		@Override
		public void onNext(byte[] frame) {
			try {
				this.reader.read(frame).forEach(this::receive);
			}
			catch (IOException ex) {
				throw Status.DATA_LOSS.withDescription(ex.getMessage()).withCause(ex).asRuntimeException();
			}
		}

		@Override
		public void onError(Throwable ex) {
			logger.atFine().withCause(ex).log("A peer's stream broke");
		}

		@Override
		public void onCompleted() {
			this.receipt.onNext(Receipt.getDefaultInstance());
			this.receipt.onCompleted();
		}

		private void receive(Envelope envelope) {
			PeerServer.this.traffic.received(envelope);
			PeerCodec.decode(envelope)
				.ifPresent((message) -> PeerServer.this.sink.accept(new Event.MessageReceived(
						PeerServer.this.clock.millis(), PeerCodec.sender(envelope), message)));
		}

	}

}
