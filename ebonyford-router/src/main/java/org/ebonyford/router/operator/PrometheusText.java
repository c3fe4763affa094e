package org.ebonyford.router.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Writes metrics in the Prometheus text form.
 */
public final class PrometheusText implements Supplier<byte[]> {

	/**
	 * The metrics in Prometheus' own model.
	 */
	private final PrometheusRegistry registry = new PrometheusRegistry();

	/**
	 * Writes the text form.
	 */
	private final PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(true);

	/**
	 * Creates a writer.
	 * @param metrics the metrics to write
	 */
	public PrometheusText(MetricRegistry metrics) {
		DropwizardExports.builder().dropwizardRegistry(metrics).register(this.registry);
	}

	@Override
	public byte[] get() {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		try {
			this.writer.write(text, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return text.toByteArray();
	}

}
