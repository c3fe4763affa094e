package org.ebonyford.gateway.log;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * Counters, gauges and latency histograms in the text format of Prometheus. It belongs to
 * the event loop. Label sets are bounded: what comes after the greatest number of them is
 * counted together.
 */
public final class Metrics {

	/**
	 * The upper bounds of the histograms' buckets in milliseconds, each twice the one
	 * before, from a millisecond to over the longest time-out.
	 */
	private static final long[] BUCKET_BOUNDS_MILLIS = { 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192,
			16384 };

	/**
	 * The greatest number of label sets of one name.
	 */
	private static final int MAX_LABEL_SETS = 500;

	/**
	 * The labels of what is beyond that number.
	 */
	private static final String OVERFLOW_LABELS = "other=\"true\"";

	/**
	 * The counters by name and labels.
	 */
	private final Map<String, Map<String, long[]>> counters = new TreeMap<>();

	/**
	 * The histograms by name and labels: a count for each bucket, the count of all, and
	 * the sum.
	 */
	private final Map<String, Map<String, long[]>> histograms = new TreeMap<>();

	/**
	 * The gauges by name.
	 */
	private final Map<String, DoubleSupplier> gauges = new TreeMap<>();

	/**
	 * Adds one to a counter.
	 * @param name the name
	 * @param labels the labels, such as {@code route="a"}
	 */
	public void count(String name, String labels) {
		series(this.counters, name, labels, 1)[0]++;
	}

	/**
	 * Adds a time to a histogram.
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
	 * Sets what a gauge shows.
	 * @param name the name
	 * @param value the value when it is asked for
	 */
	public void gauge(String name, DoubleSupplier value) {
		this.gauges.put(name, value);
	}

	/**
	 * Renders all metrics.
	 * @return the text
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
