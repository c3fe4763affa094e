package org.ebonyford.router.peer;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

import io.grpc.MethodDescriptor;

import org.ebonyford.router.generated.PeerGrpc;
import org.ebonyford.router.generated.Receipt;

/**
 * The method that carries the messages of a stream packed into frames.
 */
final class FrameMethod {

	/**
	 * The method of the protocol, whose messages go in frames.
	 */
	static final MethodDescriptor<byte[], Receipt> DELIVER = PeerGrpc.getDeliverMethod()
		.toBuilder(Bytes.INSTANCE, PeerGrpc.getDeliverMethod().getResponseMarshaller())
		.setSchemaDescriptor(null)
		.build();

	private FrameMethod() {
	}

	/**
	 * Passes frames on as they are.
	 */
	private enum Bytes implements MethodDescriptor.Marshaller<byte[]> {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public InputStream stream(byte[] frame) {
			return new ByteArrayInputStream(frame);
		}

		@Override
		public byte[] parse(InputStream stream) {
			try {
				return stream.readAllBytes();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
