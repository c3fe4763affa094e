package org.ebonyford.router.process;

import java.security.KeyStore;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheckRegistry;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.DropwizardResourceConfig;
import io.dropwizard.jersey.jackson.JacksonFeature;
import io.dropwizard.jersey.validation.Validators;
import io.dropwizard.jetty.ConnectorFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.jetty.HttpsConnectorFactory;
import io.dropwizard.logging.common.LoggingUtil;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import jakarta.servlet.DispatcherType;
import jakarta.servlet.Servlet;
import org.eclipse.jetty.server.NetworkConnector;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.glassfish.jersey.servlet.ServletContainer;
import org.glassfish.jersey.servlet.ServletProperties;

import org.ebonyford.router.operator.OperatorResource;
import org.ebonyford.router.tls.PemKeyStore;

/**
 * Listens for callers on one port and for operators on another, with Dropwizard's server.
 */
public final class HttpServer implements AutoCloseable {

	/**
	 * The threads that the server uses at most.
	 */
	private static final int MAX_THREADS = 24;

	/**
	 * The threads that the server keeps.
	 */
	private static final int MIN_THREADS = 8;

	/**
	 * The server.
	 */
	private final Server server;

	/**
	 * Creates a server that does not listen yet.
	 * @param settings where to listen
	 * @param callers answers callers
	 * @param errors answers requests that cannot be read
	 * @param operators answers operators
	 * @param metrics keeps the server's metrics
	 */
	public HttpServer(Settings settings, Servlet callers, Request.Handler errors, OperatorResource operators,
			MetricRegistry metrics) {
		Environment environment = new Environment("ebonyford", Jackson.newObjectMapper(),
				Validators.newValidatorFactory(), metrics, HttpServer.class.getClassLoader(), new HealthCheckRegistry(),
				new Configuration());
		environment.jersey().disable();
		var registration = environment.servlets().addServlet("callers", callers);
		registration.setAsyncSupported(true);
		registration.addMapping("/*");
		addOperators(environment, operators);
		this.server = factory(settings).build(environment);
		this.server.setErrorHandler(errors);
		this.server.setStopAtShutdown(false);
	}

	private static void addOperators(Environment environment, OperatorResource operators) {
		DropwizardResourceConfig resources = new DropwizardResourceConfig();
		resources.register(new JacksonFeature(Jackson.newObjectMapper()));
		resources.register(operators);
		resources.property(ServletProperties.FILTER_FORWARD_ON_404, true);
		var filter = environment.admin().addFilter("operators", new ServletContainer(resources));
		filter.setAsyncSupported(true);
		filter.addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
	}

	private static DefaultServerFactory factory(Settings settings) {
		LoggingUtil.hijackJDKLogging();
		DefaultServerFactory factory = new DefaultServerFactory();
		LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
		requestLog.setAppenders(List.of());
		factory.setRequestLogFactory(requestLog);
		factory.getGzipFilterFactory().setEnabled(false);
		factory.setMaxThreads(MAX_THREADS);
		factory.setMinThreads(MIN_THREADS);
		factory.setShutdownGracePeriod(Duration.seconds(1));
		factory.setRegisterDefaultExceptionMappers(false);
		factory.setApplicationConnectors(List.of(connector(settings.callers(), settings.maxHeaderBytes())));
		factory.setAdminConnectors(List.of(connector(settings.operators(), settings.maxHeaderBytes())));
		return factory;
	}

	private static ConnectorFactory connector(Endpoint endpoint, int maxHeaderBytes) {
		HttpConnectorFactory connector = endpoint.tls()
			.<HttpConnectorFactory>map(SecureConnector::new)
			.orElseGet(HttpConnectorFactory::new);
		connector.setBindHost(endpoint.host());
		connector.setPort(endpoint.port());
		connector.setMaxRequestHeaderSize(DataSize.bytes(maxHeaderBytes));
		connector.setAcceptorThreads(Optional.of(1));
		connector.setSelectorThreads(Optional.of(2));
		connector.setIdleTimeout(Duration.minutes(10));
		return connector;
	}

	/**
	 * Starts to listen.
	 * @throws Exception if a port cannot be listened on
	 */
	public void start() throws Exception {
		this.server.start();
	}

	/**
	 * Returns the port that callers reach.
	 * @return the port
	 */
	public int callersPort() {
		return port("application");
	}

	/**
	 * Returns the port that operators reach.
	 * @return the port
	 */
	public int operatorsPort() {
		return port("admin");
	}

	private int port(String name) {
		return Arrays.stream(this.server.getConnectors())
			.filter((connector) -> name.equals(connector.getName()))
			.map((connector) -> ((NetworkConnector) connector).getLocalPort())
			.findFirst()
			.orElseThrow();
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
	}

	/**
	 * Where to listen.
	 *
	 * @param callers where callers reach the router
	 * @param operators where operators reach the router
	 * @param maxHeaderBytes the bytes that the head of a request may have
	 */
	public record Settings(Endpoint callers, Endpoint operators, int maxHeaderBytes) {

	}

	/**
	 * An address to listen on.
	 *
	 * @param host the host
	 * @param port the port, 0 to have the system choose one
	 * @param tls the certificate and key for TLS, empty to listen without
	 */
	public record Endpoint(String host, int port, Optional<KeyStore> tls) {

	}

	/**
	 * A connector that speaks TLS with a certificate from memory.
	 */
	private static final class SecureConnector extends HttpsConnectorFactory {

		/**
		 * The certificate and its key.
		 */
		private final KeyStore identity;

		SecureConnector(KeyStore identity) {
			this.identity = identity;
			setKeyStorePassword(PemKeyStore.PASSWORD);
		}

		@Override
		protected SslContextFactory.Server configureSslContextFactory(SslContextFactory factory) {
			SslContextFactory.Server configured = super.configureSslContextFactory(factory);
			configured.setKeyStore(this.identity);
			return configured;
		}

	}

}
