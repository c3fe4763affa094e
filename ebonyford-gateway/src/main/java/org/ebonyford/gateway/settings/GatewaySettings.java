package org.ebonyford.gateway.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.ebonyford.finding.Findings;
import org.ebonyford.ini.IniFile;
import org.ebonyford.ini.IniSection;
import org.ebonyford.ini.SectionReader;
import org.ebonyford.ini.ValueFormat;
import org.ebonyford.rollout.RolloutSettings;

/**
 * The settings of a gateway, read from an INI file.
 *
 * @param name the name of the gateway in logs
 * @param dataCentre its data centre
 * @param callerAddress the address at which callers are served
 * @param readinessAddress the address at which the balancer checks readiness
 * @param metricsAddress the address at which metrics are served
 * @param peerAddress the UDP address at which peers send their reports
 * @param relayAddress the TCP address at which peers read the store through this gateway
 * @param storeAddress the address of the store
 * @param maxDescriptors the maximum number of file descriptors that the process may open
 * @param revocationMillis the maximum time in milliseconds until a revoked key stops
 * working everywhere
 * @param graceMillis the time in milliseconds between the termination signal and the kill
 * @param retryRatio the retries that a service may use for each of its requests
 * @param extraRetries the additional retries in a window, of all gateways together
 * @param retryWindowMillis the length of the retry window in milliseconds
 * @param coldFactor the factor on a service's request rate for cold upstreams
 * @param coldSlack the requests per second added to that rate
 * @param shareWindowMillis the window in milliseconds in which shares are counted
 * @param requestMemoryShare the part of the heap that requests of callers and unsent
 * answers may hold
 * @param platformTerms the names of the platform's terms that are in force
 * @param streamBackups whether the memory of streams may be copied to a second engine
 * @param rollouts the bounds of roll-outs
 */
public record GatewaySettings(String name, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress metricsAddress, InetSocketAddress peerAddress,
		InetSocketAddress relayAddress, InetSocketAddress storeAddress, int maxDescriptors, long revocationMillis,
		long graceMillis, double retryRatio, double extraRetries, long retryWindowMillis, double coldFactor,
		double coldSlack, long shareWindowMillis, double requestMemoryShare, Set<String> platformTerms,
		boolean streamBackups, RolloutSettings rollouts) {

	/**
	 * Creates settings.
	 */
	public GatewaySettings {
		platformTerms = Set.copyOf(platformTerms);
	}

	/**
	 * The number of milliseconds in a second.
	 */
	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * A line with a placeholder that was left unfilled. Its setting keeps the default, so
	 * that a template may name fields that a platform does not know.
	 */
	private static final Pattern UNFILLED_LINE = Pattern.compile("(?m)^.*\\{\\{[^}]*}}.*$");

	/**
	 * The least share of requests that may reach a version before it is found sound.
	 */
	private static final double MIN_EXPOSURE_SHARE = 1e-6;

	/**
	 * The known keys by section.
	 */
	private static final Map<String, Set<String>> KEYS_BY_SECTION = Setting.keysBySection();

	/**
	 * Reads and validates settings.
	 * @param file the name of the file
	 * @param text the text of the file
	 * @param findings the findings to add to
	 * @return the settings, valid only if there are no findings
	 */
	public static GatewaySettings read(String file, String text, Findings findings) {
		IniFile ini = IniFile.read(file, UNFILLED_LINE.matcher(text).replaceAll(""), findings);
		Map<String, SectionReader> readers = new TreeMap<>();
		for (IniSection section : ini.sections()) {
			if (KEYS_BY_SECTION.containsKey(section.header())) {
				readers.put(section.header(), new SectionReader(section, findings));
			}
			else {
				findings.add(section.place(), "The section is unknown; expected one of "
						+ KEYS_BY_SECTION.keySet().stream().collect(Collectors.joining(", ")));
			}
		}
		Values values = new Values(ini, readers, findings);
		GatewaySettings settings = read(values);
		readers.values().forEach(SectionReader::finish);
		return settings;
	}

	private static GatewaySettings read(Values values) {
		return new GatewaySettings(values.text(Setting.NAME), values.text(Setting.DATA_CENTRE),
				values.address(Setting.CALLERS), values.address(Setting.READINESS), values.address(Setting.METRICS),
				values.address(Setting.PEERS), values.address(Setting.RELAY), values.address(Setting.STORE),
				(int) values.number(Setting.DESCRIPTORS), Math.round(values.number(Setting.REVOCATION)),
				values.millis(Setting.GRACE), values.number(Setting.RETRY_RATIO), values.number(Setting.RETRY_EXTRA),
				values.millis(Setting.RETRY_WINDOW), values.number(Setting.COLD_FACTOR),
				values.number(Setting.COLD_SLACK), values.millis(Setting.SHARE_WINDOW),
				values.number(Setting.REQUEST_MEMORY), values.names(Setting.PLATFORM_TERMS),
				values.text(Setting.STREAM_BACKUPS).equals("on"), rollouts(values));
	}

	/**
	 * Reads the bounds of roll-outs. A share of 0 or above 1 is taken as the nearest one
	 * that has a meaning, so that a gateway starts with it.
	 * @param values the values
	 * @return the bounds
	 */
	private static RolloutSettings rollouts(Values values) {
		return new RolloutSettings(Math.max(MIN_EXPOSURE_SHARE, Math.min(values.number(Setting.EXPOSURE_SHARE), 1)),
				Math.max(values.number(Setting.EXPOSURE_SLACK), 0),
				Math.max(Math.round(values.number(Setting.ROLLBACK)), 1));
	}

	/**
	 * Returns all settings.
	 * @return the settings in the order of the settings page
	 */
	public static List<Setting> all() {
		return List.of(Setting.values());
	}

	/**
	 * Reads the values of settings, with their defaults.
	 *
	 * @param file the file
	 * @param readers the readers of the sections in the file
	 * @param findings the findings to add to
	 */
	private record Values(IniFile file, Map<String, SectionReader> readers, Findings findings) {

		String text(Setting setting) {
			return value(setting, setting.format());
		}

		double number(Setting setting) {
			String value = value(setting, setting.format());
			return value.isEmpty() ? 0 : Double.parseDouble(value);
		}

		long millis(Setting setting) {
			return Math.round(number(setting) * MILLIS_PER_SECOND);
		}

		Set<String> names(Setting setting) {
			return Stream.of(value(setting, setting.format()).split(","))
				.map(String::strip)
				.filter((name) -> !name.isEmpty())
				.collect(Collectors.toUnmodifiableSet());
		}

		InetSocketAddress address(Setting setting) {
			String value = value(setting, setting.format());
			int colon = value.lastIndexOf(':');
			return (colon < 0) ? InetSocketAddress.createUnresolved("", 0)
					: new InetSocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
		}

		private String value(Setting setting, ValueFormat<String> format) {
			SectionReader reader = this.readers.get(setting.section());
			if (reader == null) {
				if (setting.defaultValue().isEmpty()) {
					this.findings.add(this.file.place(), "[" + setting.section() + "] " + setting.key()
							+ " is missing; expected " + format.expected());
				}
				return setting.defaultValue();
			}
			return setting.defaultValue().isEmpty() ? reader.required(setting.key(), format).orElse("")
					: reader.optional(setting.key(), format).orElse(setting.defaultValue());
		}

	}

}
