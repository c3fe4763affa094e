package org.ebonyford.router.command;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;

/**
 * Reads documents with Apache HttpClient, one connection for each.
 *
 * @param timeout how long a connection and an answer may take each
 */
public record HttpFetcher(Duration timeout) implements Fetcher {

	/**
	 * The characters that a document may have.
	 */
	private static final int MAX_DOCUMENT = 16 << 20;

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
		return HttpClients.custom()
			.setConnectionManager(
					PoolingHttpClientConnectionManagerBuilder.create().setDefaultConnectionConfig(connections).build())
			.disableAutomaticRetries()
			.build();
	}

	private static String document(ClassicHttpResponse response) throws IOException, ParseException {
		if (response.getCode() != HttpStatus.SC_OK) {
			EntityUtils.consume(response.getEntity());
			throw new IOException("the answer is " + response.getCode());
		}
		return EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8, MAX_DOCUMENT);
	}

}
