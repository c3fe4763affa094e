package org.ebonyford.router.command;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.ssl.DefaultClientTlsStrategy;
import org.apache.hc.client5.http.ssl.TlsSocketStrategy;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.ssl.SSLContexts;
import org.apache.hc.core5.util.Timeout;

/**
 * Reads documents with Apache HttpClient, one connection for each.
 *
 * @param timeout how long a connection and an answer may take each
 * @param authorities the certificates of the authorities that servers are trusted by, or
 * empty for those of the Java runtime
 */
public record HttpFetcher(Duration timeout, Optional<KeyStore> authorities) implements Fetcher {

	/**
	 * The characters that a document may have.
	 */
	private static final int MAX_DOCUMENT = 16 << 20;

	/**
	 * Creates a fetcher.
	 * @throws NullPointerException if the timeout or the authorities are {@code null}
	 */
	public HttpFetcher {
		Objects.requireNonNull(timeout, "timeout");
		Objects.requireNonNull(authorities, "authorities");
	}

	/**
	 * Creates a fetcher that trusts servers by the authorities of the Java runtime.
	 * @param timeout how long a connection and an answer may take each
	 */
	public HttpFetcher(Duration timeout) {
		this(timeout, Optional.empty());
	}

	@Override
	public Fetcher trusting(KeyStore trusted) {
		return new HttpFetcher(this.timeout, Optional.of(trusted));
	}

	@Override
	public CompletableFuture<String> fetch(URI address, Optional<String> bearer) {
		return CompletableFuture.supplyAsync(() -> get(address, bearer));
	}

	private String get(URI address, Optional<String> bearer) {
		HttpGet request = new HttpGet(address);
		bearer.ifPresent((secret) -> request.setHeader(HttpHeaders.AUTHORIZATION, "Bearer " + secret));
		request.setConfig(RequestConfig.custom().setResponseTimeout(Timeout.of(this.timeout)).build());
		try (CloseableHttpClient client = client()) {
			return client.execute(request, HttpFetcher::document);
		}
		catch (IOException ex) {
			throw new CommandException(address + " cannot be read: " + ex.getMessage());
		}
	}

	private CloseableHttpClient client() {
		ConnectionConfig connections = ConnectionConfig.custom().setConnectTimeout(Timeout.of(this.timeout)).build();
		PoolingHttpClientConnectionManagerBuilder manager = PoolingHttpClientConnectionManagerBuilder.create();
		manager.setDefaultConnectionConfig(connections);
		this.authorities.map(HttpFetcher::tls).ifPresent(manager::setTlsSocketStrategy);
		return HttpClients.custom().setConnectionManager(manager.build()).disableAutomaticRetries().build();
	}

	private static TlsSocketStrategy tls(KeyStore trusted) {
		try {
			return new DefaultClientTlsStrategy(SSLContexts.custom().loadTrustMaterial(trusted, null).build());
		}
		catch (GeneralSecurityException ex) {
			throw new CommandException("The authorities cannot be used: " + ex.getMessage());
		}
	}

	private static String document(ClassicHttpResponse response) throws IOException, ParseException {
		if (response.getCode() != HttpStatus.SC_OK) {
			EntityUtils.consume(response.getEntity());
			throw new IOException("the answer is " + response.getCode());
		}
		return EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8, MAX_DOCUMENT);
	}

}
