package org.ebonyford.router.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

import org.ebonyford.reducer.RouterStatus;

/**
 * Answers operators and the platform's balancer.
 */
@Path("/")
public class OperatorResource {

	/**
	 * The seconds within which the event loop must answer to count as healthy.
	 */
	private static final long HEALTH_SECONDS = 5;

	/**
	 * The value that the authorization of an operator must have.
	 */
	private final byte[] expected;

	/**
	 * Asks the event loop for the status.
	 */
	private final Supplier<CompletableFuture<RouterStatus>> status;

	/**
	 * Writes the metrics in the Prometheus text form.
	 */
	private final Supplier<byte[]> metrics;

	/**
	 * Creates the resource.
	 * @param secret the operators' secret
	 * @param status asks the event loop for the status
	 * @param metrics writes the metrics in the Prometheus text form
	 */
	public OperatorResource(String secret, Supplier<CompletableFuture<RouterStatus>> status, Supplier<byte[]> metrics) {
		this.expected = ("Bearer " + secret).getBytes(StandardCharsets.UTF_8);
		this.status = status;
		this.metrics = metrics;
	}

	/**
	 * Tells whether the process works.
	 * @param response gets 200, or 503 if the event loop does not answer
	 */
	@GET
	@Path("healthz")
	@Produces(MediaType.TEXT_PLAIN)
	public void healthz(@Suspended AsyncResponse response) {
		ask().whenComplete(
				(status, ex) -> response.resume((ex != null) ? unavailable("stuck\n") : Response.ok("ok\n").build()));
	}

	/**
	 * Tells whether the router takes requests.
	 * @param response gets 200, or 503 with the reason
	 */
	@GET
	@Path("readyz")
	@Produces(MediaType.TEXT_PLAIN)
	public void readyz(@Suspended AsyncResponse response) {
		ask().whenComplete((status, ex) -> response.resume(readiness(status)));
	}

	private static Response readiness(RouterStatus status) {
		if (status == null) {
			return unavailable("stuck\n");
		}
		return status.ready() ? Response.ok("ready\n").build() : unavailable(status.reason() + "\n");
	}

	private static Response unavailable(String reason) {
		return Response.status(Response.Status.SERVICE_UNAVAILABLE).entity(reason).build();
	}

	/**
	 * Tells operators what the router knows.
	 * @param authorization the operator's authorization
	 * @param response gets the status, or 401
	 */
	@GET
	@Path("status")
	@Produces(MediaType.APPLICATION_JSON)
	public void status(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
			@Suspended AsyncResponse response) {
		if (!authorized(authorization)) {
			response.resume(Response.status(Response.Status.UNAUTHORIZED).build());
			return;
		}
		ask().whenComplete(
				(status, ex) -> response.resume((ex != null) ? unavailable("stuck\n") : Response.ok(status).build()));
	}

	/**
	 * Writes the metrics.
	 * @return the metrics in the Prometheus text form
	 */
	@GET
	@Path("metrics")
	@Produces(MediaType.TEXT_PLAIN)
	public byte[] metrics() {
		return this.metrics.get();
	}

	private CompletableFuture<RouterStatus> ask() {
		return this.status.get().orTimeout(HEALTH_SECONDS, TimeUnit.SECONDS);
	}

	private boolean authorized(String authorization) {
		return authorization != null
				&& MessageDigest.isEqual(authorization.getBytes(StandardCharsets.UTF_8), this.expected);
	}

}
