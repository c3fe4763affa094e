package org.ebonyford.gateway.log;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * Counters, gauges and latency histograms in the Prometheus text format. Not thread-safe:
 * used on the event loop only. The number of label sets is bounded; further ones are
 * counted together.
 */
public final class Metrics {

	/**
	 * Upper bounds of the histogram buckets in milliseconds, each twice the one before,
	 * from a millisecond to over the longest timeout.
	 */
	private static final long[] BUCKET_BOUNDS_MILLIS = { 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192,
			16384 };

	/**
	 * Maximum number of label sets of a metric.
	 */
	private static final int MAX_LABEL_SETS = 500;

	/**
	 * Labels of the series that counts all label sets beyond the maximum.
	 */
	private static final String OVERFLOW_LABELS = "other=\"true\"";

	/**
	 * The counters by name and labels.
	 */
	private final Map<String, Map<String, long[]>> counters = new TreeMap<>();

	/**
	 * The histograms by name and labels: the cumulative count of each bucket, the total
	 * count and the sum in milliseconds.
	 */
	private final Map<String, Map<String, long[]>> histograms = new TreeMap<>();

	/**
	 * The gauges by name.
	 */
	private final Map<String, DoubleSupplier> gauges = new TreeMap<>();

	/**
	 * Increments a counter.
	 * @param name the name
	 * @param labels the labels, such as {@code route="a"}
	 */
	public void count(String name, String labels) {
		series(this.counters, name, labels, 1)[0]++;
	}

	/**
	 * Records a time in a histogram.
	 * @param name the name
	 * @param labels the labels
	 * @param millis the time in milliseconds
	 */
	public void observeMillis(String name, String labels, long millis) {
		long[] histogram = series(this.histograms, name, labels, BUCKET_BOUNDS_MILLIS.length + 2);
		for (int index = 0; index < BUCKET_BOUNDS_MILLIS.length; index++) {
			histogram[index] += (millis <= BUCKET_BOUNDS_MILLIS[index]) ? 1 : 0;
		}
		histogram[BUCKET_BOUNDS_MILLIS.length]++;
		histogram[BUCKET_BOUNDS_MILLIS.length + 1] += millis;
	}

	/**
	 * Registers a gauge.
	 * @param name the name
	 * @param value supplies the value when the metrics are rendered
	 */
	public void gauge(String name, DoubleSupplier value) {
		this.gauges.put(name, value);
	}

	/**
	 * Renders all metrics.
	 * @return the metrics in the Prometheus text format
	 */
	public String render() {
		StringBuilder text = new StringBuilder();
		this.counters.forEach((name, series) -> {
			text.append("# TYPE ").append(name).append(" counter\n");
			series.forEach((labels, value) -> appendLine(text, name, labels, value[0]));
		});
		this.gauges.forEach((name, value) -> {
			text.append("# TYPE ").append(name).append(" gauge\n");
			text.append(name).append(String.format(Locale.ROOT, " %.3f%n", value.getAsDouble()));
		});
		this.histograms.forEach((name, series) -> {
			text.append("# TYPE ").append(name).append(" histogram\n");
			series.forEach((labels, values) -> appendHistogram(text, name, labels, values));
		});
		return text.toString();
	}

	private static void appendHistogram(StringBuilder text, String name, String labels, long[] values) {
		String separator = labels.isEmpty() ? "" : ",";
		for (int index = 0; index < BUCKET_BOUNDS_MILLIS.length; index++) {
			appendLine(text, name + "_bucket", labels + separator + "le=\"" + BUCKET_BOUNDS_MILLIS[index] + "\"",
					values[index]);
		}
		appendLine(text, name + "_bucket", labels + separator + "le=\"+Inf\"", values[BUCKET_BOUNDS_MILLIS.length]);
		appendLine(text, name + "_count", labels, values[BUCKET_BOUNDS_MILLIS.length]);
		appendLine(text, name + "_sum", labels, values[BUCKET_BOUNDS_MILLIS.length + 1]);
	}

	private static void appendLine(StringBuilder text, String name, String labels, long value) {
		text.append(name);
		if (!labels.isEmpty()) {
			text.append('{').append(labels).append('}');
		}
		text.append(' ').append(value).append('\n');
	}

	private static long[] series(Map<String, Map<String, long[]>> all, String name, String labels, int size) {
		Map<String, long[]> series = all.computeIfAbsent(name, (key) -> new TreeMap<>());
		String bounded = (series.size() < MAX_LABEL_SETS || series.containsKey(labels)) ? labels : OVERFLOW_LABELS;
		return series.computeIfAbsent(bounded, (key) -> new long[size]);
	}

}
