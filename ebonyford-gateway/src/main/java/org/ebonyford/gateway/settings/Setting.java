package org.ebonyford.gateway.settings;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.ebonyford.ini.ValueFormat;

/**
 * A setting of a gateway. Its text here is the only one; the page of settings is held
 * equal to it.
 */
public enum Setting {

	/** The name. */
	NAME("gateway", "name", ValueFormat.ForPattern.NAME, "", "The name of the gateway in log lines."),

	/** The data centre. */
	DATA_CENTRE("gateway", "data-centre", ValueFormat.ForPattern.NAME, "",
			"The data centre. Upstreams in it are preferred."),

	/** The address for callers. */
	CALLERS("listen", "callers", ValueFormat.ForAddress.INSTANCE, "", "The address at which callers are served."),

	/** The address for the balancer. */
	READINESS("listen", "readiness", ValueFormat.ForAddress.INSTANCE, "",
			"The address at which the balancer asks whether the gateway takes connections."),

	/** The address of the metrics. */
	METRICS("listen", "metrics", ValueFormat.ForAddress.INSTANCE, "",
			"The address of the counters and histograms, at the path /metrics."),

	/** The address for peers. */
	PEERS("listen", "peers", ValueFormat.ForAddress.INSTANCE, "",
			"The address, for UDP, at which peers send their reports."),

	/** The address at which peers read. */
	RELAY("listen", "relay", ValueFormat.ForAddress.INSTANCE, "",
			"The address, for TCP, at which peers read what this gateway has read from the store."),

	/** The address of the store. */
	STORE("store", "address", ValueFormat.ForAddress.INSTANCE, "", "The address of the platform's store."),

	/** The descriptors. */
	DESCRIPTORS("limits", "descriptors", ValueFormat.ForDecimal.INSTANCE, "1024",
			"The descriptors that the process may open. Callers get a part of them; beyond a number of idle connections of"
					+ " callers each answer closes its connection."),

	/** The bound on revocation. */
	REVOCATION("bounds", "revocation-ms", ValueFormat.ForDecimal.INSTANCE, "5000",
			"The time in milliseconds within which a key that was taken away stops working everywhere. While the configuration is"
					+ " older, requests with keys are refused."),

	/** The time to end. */
	GRACE("bounds", "grace-seconds", ValueFormat.ForDecimal.INSTANCE, "8",
			"The time between the request to end and the kill, within which open requests are finished."),

	/** The repeats for each request. */
	RETRY_RATIO("bounds", "retry-ratio", ValueFormat.ForDecimal.INSTANCE, "0.2",
			"The repeats that a service may get for each of its requests."),

	/** The further repeats. */
	RETRY_EXTRA("bounds", "retry-extra", ValueFormat.ForDecimal.INSTANCE, "10",
			"The further repeats in a window, of all gateways together."),

	/** The window of repeats. */
	RETRY_WINDOW("bounds", "retry-window-seconds", ValueFormat.ForDecimal.INSTANCE, "10",
			"The window in which repeats are counted."),

	/** The factor for cold upstreams. */
	COLD_FACTOR("bounds", "cold-factor", ValueFormat.ForDecimal.INSTANCE, "1",
			"The factor by which the rate that a service states for cold upstreams may be exceeded."),

	/** The slack for cold upstreams. */
	COLD_SLACK("bounds", "cold-slack", ValueFormat.ForDecimal.INSTANCE, "0",
			"The requests in a second by which that rate may be exceeded besides."),

	/** The window of shares. */
	SHARE_WINDOW("bounds", "share-window-seconds", ValueFormat.ForDecimal.INSTANCE, "4",
			"The window in which the tokens of organisations are counted against their fair share.");

	/**
	 * The section.
	 */
	private final String section;

	/**
	 * The key.
	 */
	private final String key;

	/**
	 * The format of the value.
	 */
	private final ValueFormat<String> format;

	/**
	 * The value if the key is missing, empty if it must not be.
	 */
	private final String defaultValue;

	/**
	 * What the setting means.
	 */
	private final String meaning;

	Setting(String section, String key, ValueFormat<String> format, String defaultValue, String meaning) {
		this.section = section;
		this.key = key;
		this.format = format;
		this.defaultValue = defaultValue;
		this.meaning = meaning;
	}

	String section() {
		return this.section;
	}

	String key() {
		return this.key;
	}

	ValueFormat<String> format() {
		return this.format;
	}

	String defaultValue() {
		return this.defaultValue;
	}

	/**
	 * Returns the row of the page of settings.
	 * @return section, key, default and meaning as a row of a table
	 */
	public String tableRow() {
		String shown = this.defaultValue.isEmpty() ? "required" : "`" + this.defaultValue + "`";
		return "| `[" + this.section + "]` | `" + this.key + "` | " + shown + " | " + this.meaning + " |";
	}

	static Map<String, Set<String>> keysBySection() {
		Map<String, Set<String>> keys = new TreeMap<>();
		for (Setting setting : values()) {
			keys.computeIfAbsent(setting.section, (name) -> new TreeSet<>()).add(setting.key);
		}
		return keys;
	}

}
