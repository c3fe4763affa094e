package org.ebonyford.router.caller;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

import org.ebonyford.identity.RequestId;
import org.ebonyford.request.Outcome;

/**
 * Tells of requests that the HTTP server itself refuses, such as those with too large
 * headers, in the same way as the router does.
 */
public final class ProblemErrorHandler extends ErrorHandler {

	/**
	 * The lowest status code of an error of the server.
	 */
	private static final int SERVER_ERROR = 500;

	/**
	 * Makes a name for each request.
	 */
	private final Supplier<RequestId> ids;

	/**
	 * Creates a handler.
	 * @param ids makes a name for each request
	 */
	public ProblemErrorHandler(Supplier<RequestId> ids) {
		this.ids = ids;
	}

	@Override
	public boolean errorPageForMethod(String method) {
		return true;
	}

	@Override
	protected void generateResponse(Request request, Response response, int code, String message, Throwable cause,
			Callback callback) {
		Problem problem = problem(code);
		response.setStatus(problem.status());
		for (HeaderField header : problem.headers()) {
			response.getHeaders().put(header.name(), header.value());
		}
		response.write(true, ByteBuffer.wrap(problem.json()), callback);
	}

	private Problem problem(int code) {
		RequestId id = this.ids.get();
		if (code >= SERVER_ERROR) {
			return new Problem(code, "internal-error", "The router failed", "The request may have run.",
					Outcome.UNKNOWN, id, OptionalLong.empty());
		}
		Rejection rejection = rejection(code);
		return new Problem(code, rejection.label(), rejection.title(), "The HTTP server refused the request.",
				Outcome.NOT_RUN, id, OptionalLong.empty());
	}

	private static Rejection rejection(int code) {
		for (Rejection rejection : Rejection.values()) {
			if (rejection.status() == code) {
				return rejection;
			}
		}
		return Rejection.MALFORMED;
	}

}
