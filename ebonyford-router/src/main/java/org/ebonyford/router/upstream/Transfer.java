package org.ebonyford.router.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.function.BooleanSupplier;

import org.apache.hc.client5.http.nio.AsyncConnectionEndpoint;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * One request and its answer on one connection. The connection is used again only if both
 * were transferred whole and the transfer was not abandoned.
 */
final class Transfer implements AsyncClientExchangeHandler {

	/**
	 * Tells whether a connection lasts.
	 */
	private static final ConnectionReuseStrategy KEEP_ALIVE = DefaultConnectionReuseStrategy.INSTANCE;

	/**
	 * Where the connection comes from.
	 */
	private final UpstreamConnections connections;

	/**
	 * The head of the request.
	 */
	private final HttpRequest head;

	/**
	 * What of the body is still to be sent.
	 */
	private final ByteBuffer body;

	/**
	 * Returns whether the request may still be sent.
	 */
	private final BooleanSupplier permitted;

	/**
	 * Takes the answer.
	 */
	private final Receiver receiver;

	/**
	 * The connection, {@code null} while there is none.
	 */
	private AsyncConnectionEndpoint endpoint;

	/**
	 * Where more of the answer is asked for, {@code null} before the connection waits.
	 */
	private CapacityChannel capacity;

	/**
	 * The bytes that may be asked for once the connection waits.
	 */
	private int grants;

	/**
	 * Whether anything was handed to the connection.
	 */
	private boolean handed;

	/**
	 * Whether the request was sent whole.
	 */
	private boolean sent;

	/**
	 * Whether the upstream keeps the connection after its answer.
	 */
	private boolean lasting;

	/**
	 * Whether nobody wants the answer any more.
	 */
	private boolean abandoned;

	/**
	 * Whether the end of the transfer was told.
	 */
	private boolean ended;

	/**
	 * Whether the connection was given back.
	 */
	private boolean released;

	/**
	 * Creates a transfer.
	 * @param connections where the connection comes from
	 * @param head the head of the request
	 * @param body the body of the request
	 * @param permitted returns whether the request may still be sent
	 * @param receiver takes the answer
	 */
	Transfer(UpstreamConnections connections, HttpRequest head, byte[] body, BooleanSupplier permitted,
			Receiver receiver) {
		this.connections = connections;
		this.head = head;
		this.body = ByteBuffer.wrap(body);
		this.permitted = permitted;
		this.receiver = receiver;
	}

	/**
	 * Leases a connection and sends the request.
	 * @param host the upstream
	 */
	void run(HttpHost host) {
		this.connections.lease(host, this::leased, this::failed);
	}

	/**
	 * Abandons the transfer and closes its connection.
	 * @return whether anything was handed to the connection
	 */
	boolean abandon() {
		AsyncConnectionEndpoint closing;
		synchronized (this) {
			this.abandoned = true;
			this.ended = true;
			closing = release();
		}
		if (closing != null) {
			this.connections.discard(closing);
		}
		return wasHanded();
	}

	/**
	 * Asks the connection for more of the answer.
	 * @param bytes the number of bytes
	 */
	void grant(int bytes) {
		CapacityChannel channel;
		synchronized (this) {
			if (this.capacity == null || this.ended) {
				this.grants += bytes;
				return;
			}
			channel = this.capacity;
		}
		try {
			channel.update(bytes);
		}
		catch (IOException ex) {
			failed(ex);
		}
	}

	@Override
	public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
		synchronized (this) {
			if (this.abandoned || !this.permitted.getAsBoolean()) {
				throw new HttpException("The request may no longer be sent");
			}
			this.handed = true;
			this.sent = !this.body.hasRemaining();
		}
		EntityDetails details = this.sent ? null : new BasicEntityDetails(this.body.remaining(), null);
		channel.sendRequest(this.head, details, context);
	}

	@Override
	public int available() {
		return this.body.remaining();
	}

	@Override
	public void produce(DataStreamChannel channel) throws IOException {
		if (this.body.hasRemaining()) {
			channel.write(this.body);
		}
		if (!this.body.hasRemaining() && !this.sent) {
			this.sent = true;
			channel.endStream();
		}
	}

	@Override
	public void consumeInformation(HttpResponse response, HttpContext context) {
	}

	@Override
	public void consumeResponse(HttpResponse response, EntityDetails details, HttpContext context)
			throws HttpException, IOException {
		if (isEnded()) {
			throw new HttpException("The transfer was abandoned");
		}
		this.lasting = KEEP_ALIVE.keepAlive(null, response, context);
		this.receiver.head(response, details);
		if (details == null) {
			streamEnd(List.of());
		}
	}

	@Override
	public void updateCapacity(CapacityChannel channel) throws IOException {
		int granted;
		synchronized (this) {
			this.capacity = channel;
			granted = this.grants;
			this.grants = 0;
		}
		if (granted > 0) {
			channel.update(granted);
		}
	}

	@Override
	public void consume(ByteBuffer source) throws IOException {
		byte[] bytes = new byte[source.remaining()];
		source.get(bytes);
		if (isEnded()) {
			throw new IOException("The transfer was abandoned");
		}
		this.receiver.data(bytes);
	}

	@Override
	public void streamEnd(List<? extends Header> trailers) {
		AsyncConnectionEndpoint ending;
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			ending = release();
		}
		if (ending != null && this.sent && this.lasting) {
			this.connections.reuse(ending);
		}
		else if (ending != null) {
			this.connections.discard(ending);
		}
		this.receiver.end();
	}

	@Override
	public void failed(Exception ex) {
		AsyncConnectionEndpoint broken;
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			broken = release();
		}
		if (broken != null) {
			this.connections.discard(broken);
		}
		this.receiver.failed(wasHanded());
	}

	@Override
	public void cancel() {
		failed(new CancellationException());
	}

	@Override
	public void releaseResources() {
		failed(new CancellationException());
	}

	private void leased(AsyncConnectionEndpoint leased) {
		synchronized (this) {
			if (!this.abandoned) {
				this.endpoint = leased;
			}
		}
		if (this.endpoint == null) {
			this.connections.reuse(leased);
			return;
		}
		leased.execute("", this, HttpCoreContext.create());
	}

	private AsyncConnectionEndpoint release() {
		AsyncConnectionEndpoint held = this.released ? null : this.endpoint;
		this.released = held != null || this.released;
		return held;
	}

	private synchronized boolean isEnded() {
		return this.ended;
	}

	private synchronized boolean wasHanded() {
		return this.handed;
	}

	/**
	 * Takes the answer of a transfer. Nothing more comes after the end, a failure or the
	 * abandonment of the transfer.
	 */
	interface Receiver {

		/**
		 * Takes the head of the answer.
		 * @param response the head
		 * @param details what is known of the body, {@code null} if there is none
		 */
		void head(HttpResponse response, EntityDetails details);

		/**
		 * Takes a piece of the body.
		 * @param bytes the piece
		 */
		void data(byte[] bytes);

		/**
		 * Takes the end of an answer that came whole.
		 */
		void end();

		/**
		 * Takes the failure of the transfer.
		 * @param handed whether anything was handed to the connection
		 */
		void failed(boolean handed);

	}

}
