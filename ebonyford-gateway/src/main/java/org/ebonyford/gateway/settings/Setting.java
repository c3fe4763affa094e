package org.ebonyford.gateway.settings;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.ebonyford.ini.ValueFormat;

/**
 * A setting of a gateway. Its description is defined here; a test compares the settings
 * page with it.
 */
public enum Setting {

	/** The name in log lines. */
	NAME("gateway", "name", ValueFormat.ForPattern.NAME, "", "The name of the gateway in log lines."),

	/** The data centre. */
	DATA_CENTRE("gateway", "data-centre", ValueFormat.ForPattern.NAME, "",
			"The data centre. Upstreams in it are preferred."),

	/** The address at which callers are served. */
	CALLERS("listen", "callers", ValueFormat.ForAddress.INSTANCE, "", "The address at which callers are served."),

	/** The address of readiness checks. */
	READINESS("listen", "readiness", ValueFormat.ForAddress.INSTANCE, "",
			"The address at which the balancer asks whether the gateway takes connections."),

	/** The address of the metrics. */
	METRICS("listen", "metrics", ValueFormat.ForAddress.INSTANCE, "",
			"The address of the counters and histograms, at the path /metrics."),

	/** The UDP address of peer reports. */
	PEERS("listen", "peers", ValueFormat.ForAddress.INSTANCE, "",
			"The address, for UDP, at which peers send their reports."),

	/** The TCP address of the store relay. */
	RELAY("listen", "relay", ValueFormat.ForAddress.INSTANCE, "",
			"The address, for TCP, at which peers read what this gateway has read from the store."),

	/** The address of the store. */
	STORE("store", "address", ValueFormat.ForAddress.INSTANCE, "", "The address of the platform's store."),

	/** The maximum number of file descriptors. */
	DESCRIPTORS("limits", "descriptors", ValueFormat.ForDecimal.INSTANCE, "1024",
			"The descriptors that the process may open. Callers get a part of them; beyond a number of idle connections of"
					+ " callers each answer closes its connection."),

	/** The part of the heap for requests and unsent answers. */
	REQUEST_MEMORY("limits", "request-memory", ValueFormat.ForDecimal.INSTANCE, "0.35",
			"The part of the heap that requests of callers and answers that they have yet to take may hold. Beyond it the"
					+ " connection that holds most and progresses least gives way, and new requests are refused with 503."),

	/** The maximum time until a key revocation takes effect. */
	REVOCATION("bounds", "revocation-ms", ValueFormat.ForDecimal.INSTANCE, "5000",
			"The time in milliseconds within which a key that was taken away stops working everywhere. While the configuration is"
					+ " older, requests with keys are refused."),

	/** The time between the termination signal and the kill. */
	GRACE("bounds", "grace-seconds", ValueFormat.ForDecimal.INSTANCE, "8",
			"The time between the request to end and the kill, within which open requests are finished."),

	/** The retries for each request. */
	RETRY_RATIO("bounds", "retry-ratio", ValueFormat.ForDecimal.INSTANCE, "0.2",
			"The repeats that a service may get for each of its requests."),

	/** The additional retries in a window. */
	RETRY_EXTRA("bounds", "retry-extra", ValueFormat.ForDecimal.INSTANCE, "10",
			"The further repeats in a window, of all gateways together."),

	/** The window in which retries are counted. */
	RETRY_WINDOW("bounds", "retry-window-seconds", ValueFormat.ForDecimal.INSTANCE, "10",
			"The window in which repeats are counted."),

	/** The factor on the request rate of cold upstreams. */
	COLD_FACTOR("bounds", "cold-factor", ValueFormat.ForDecimal.INSTANCE, "1",
			"The factor by which the rate that a service states for cold upstreams may be exceeded."),

	/** The requests per second added to the rate of cold upstreams. */
	COLD_SLACK("bounds", "cold-slack", ValueFormat.ForDecimal.INSTANCE, "0",
			"The requests in a second by which that rate may be exceeded besides."),

	/** The window in which token usage counts against fair shares. */
	SHARE_WINDOW("bounds", "share-window-seconds", ValueFormat.ForDecimal.INSTANCE, "4",
			"The window in which the tokens of organisations are counted against their fair share."),

	/** The share of requests at an unjudged version. */
	EXPOSURE_SHARE("bounds", "exposure-share", ValueFormat.ForDecimal.INSTANCE, "0.1",
			"The share of a service's requests that all gateways together may send to the target of a roll-out before it is"
					+ " found sound."),

	/** The requests at an unjudged version beyond the share. */
	EXPOSURE_SLACK("bounds", "exposure-slack", ValueFormat.ForDecimal.INSTANCE, "50",
			"The requests by which that share may be exceeded, of all gateways together."),

	/** The time to stop requests to a bad version. */
	ROLLBACK("bounds", "rollback-ms", ValueFormat.ForDecimal.INSTANCE, "5000",
			"The time in milliseconds after the fiftieth bad answer of a roll-out's target within which requests to it stop"
					+ " everywhere."),

	/** The names of the platform's terms that are in force. */
	PLATFORM_TERMS("platform", "terms", ValueFormat.ForPattern.TEXT, "none",
			"The names of the platform's terms that are in force, separated by commas. They switch on what a deployment calls for; unknown ones are ignored."),

	/** Whether streams are copied to a second engine. */
	STREAM_BACKUPS("streams", "backups", new ValueFormat.ForChoice<>(Map.of("off", "off", "on", "on")), "off",
			"Whether streams that cannot be repeated are copied to a second engine, `on` or `off`. It takes effect for services whose"
					+ " configuration says that their engines keep such copies.");

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
	 * The default value, empty if the key is required.
	 */
	private final String defaultValue;

	/**
	 * The description on the settings page.
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
	 * Returns the row of the settings page.
	 * @return section, key, default and description as a Markdown table row
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
