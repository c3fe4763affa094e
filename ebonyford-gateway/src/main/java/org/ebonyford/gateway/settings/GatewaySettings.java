package org.ebonyford.gateway.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.ebonyford.finding.Findings;
import org.ebonyford.ini.IniFile;
import org.ebonyford.ini.IniSection;
import org.ebonyford.ini.SectionReader;
import org.ebonyford.ini.ValueFormat;

/**
 * The settings of a gateway, read from an INI file.
 *
 * @param name the name of the gateway in logs
 * @param dataCentre its data centre
 * @param callers the address at which callers are served
 * @param readiness the address at which the balancer asks
 * @param metrics the address of the metrics
 * @param peers the address at which peers send their reports
 * @param relay the address at which peers read what was read from the store
 * @param store the address of the store
 * @param descriptors the number of descriptors that the process may open
 * @param revocationMillis the time in milliseconds within which a key that was taken away
 * stops working everywhere
 * @param graceMillis the time in milliseconds between the request to end and the kill
 * @param retryRatio the repeats allowed for each request
 * @param retryExtra the further repeats of all gateways together in a window
 * @param retryWindowMillis the length of that window in milliseconds
 * @param coldFactor by how much the stated rate of a cold upstream may be exceeded
 * @param coldSlack the requests by which it may be exceeded besides
 * @param shareWindowMillis the window in milliseconds in which shares are counted
 */
public record GatewaySettings(String name, String dataCentre, InetSocketAddress callers, InetSocketAddress readiness,
		InetSocketAddress metrics, InetSocketAddress peers, InetSocketAddress relay, InetSocketAddress store,
		int descriptors, long revocationMillis, long graceMillis, double retryRatio, double retryExtra,
		long retryWindowMillis, double coldFactor, double coldSlack, long shareWindowMillis) {

	/**
	 * The number of milliseconds in a second.
	 */
	private static final double SECOND_MILLIS = 1_000;

	/**
	 * The sections of the file with the settings in them.
	 */
	private static final Map<String, Set<String>> SECTIONS = Setting.sections();

	/**
	 * Reads settings.
	 * @param file the name of the file
	 * @param text the text of the file
	 * @param findings the findings to add to
	 * @return the settings; only to be used if there are no findings
	 */
	public static GatewaySettings read(String file, String text, Findings findings) {
		IniFile ini = IniFile.read(file, text, findings);
		Map<String, SectionReader> readers = new TreeMap<>();
		for (IniSection section : ini.sections()) {
			if (SECTIONS.containsKey(section.header())) {
				readers.put(section.header(), new SectionReader(section, findings));
			}
			else {
				findings.add(section.place(), "The section is unknown; expected one of "
						+ SECTIONS.keySet().stream().collect(Collectors.joining(", ")));
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
				values.number(Setting.COLD_SLACK), values.millis(Setting.SHARE_WINDOW));
	}

	/**
	 * Returns the settings that there are.
	 * @return the settings in the order of the page
	 */
	public static List<Setting> all() {
		return List.of(Setting.values());
	}

	/**
	 * Reads values by setting.
	 *
	 * @param file the file
	 * @param readers the readers of the sections that are there
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
			return Math.round(number(setting) * SECOND_MILLIS);
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
				if (setting.fallback().isEmpty()) {
					this.findings.add(this.file.place(), "[" + setting.section() + "] " + setting.key()
							+ " is missing; expected " + format.expected());
				}
				return setting.fallback();
			}
			return setting.fallback().isEmpty() ? reader.required(setting.key(), format).orElse("")
					: reader.optional(setting.key(), format).orElse(setting.fallback());
		}

	}

}
