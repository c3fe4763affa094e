package org.ebonyford.router.process;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.codahale.metrics.MetricRegistry;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.ebonyford.router.command.Fetcher;
import org.ebonyford.router.command.HttpFetcher;
import org.ebonyford.router.operator.OperatorResource;
import org.ebonyford.router.tls.PemKeyStore;
import org.ebonyford.router.tls.TestAuthority;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests TLS at {@link HttpServer}.
 */
public class HttpServerTest {

	private static final String HOST = "127.0.0.1";

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private HttpServer server;

	private Fetcher trusting;

	@BeforeClass
	public void start() throws Exception {
		TestAuthority authority = new TestAuthority("authority");
		TestAuthority.Issued issued = authority.issue(HOST);
		HttpServer.Endpoint secure = new HttpServer.Endpoint(HOST, 0,
				Optional.of(PemKeyStore.ofIdentity(issued.certificate(), issued.key())));
		OperatorResource operators = new OperatorResource("secret", CompletableFuture::new, () -> "metrics".getBytes());
		this.server = new HttpServer(new HttpServer.Settings(secure, secure, MAX_HEADER_BYTES), new Greeting(),
				new ErrorHandler(), operators, new MetricRegistry());
		this.server.start();
		this.trusting = new HttpFetcher(TIMEOUT).trusting(PemKeyStore.ofAuthorities(authority.certificate()));
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		this.server.close();
	}

	@Test
	public void testCallersAreAnsweredOverTls() {
		assertEquals(get(this.trusting, "https", this.server.callersPort(), "/"), "hello");
	}

	@Test
	public void testOperatorsAreAnsweredOverTls() {
		assertEquals(get(this.trusting, "https", this.server.operatorsPort(), "/metrics"), "metrics");
	}

	@Test
	public void testCertificateOfAnUnknownAuthorityIsNotTrusted() {
		assertThrows(CompletionException.class,
				() -> get(new HttpFetcher(TIMEOUT), "https", this.server.callersPort(), "/"));
	}

	@Test
	public void testCallWithoutTlsIsNotAnswered() {
		assertThrows(CompletionException.class, () -> get(this.trusting, "http", this.server.callersPort(), "/"));
	}

	private static String get(Fetcher fetcher, String scheme, int port, String path) {
		return fetcher.fetch(URI.create(scheme + "://" + HOST + ":" + port + path), Optional.of("secret")).join();
	}

	private static final class Greeting extends HttpServlet {

		@Override
		protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
			response.getWriter().write("hello");
		}

	}

}
