package org.ebonyford.emulator.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings of one router's process.
 *
 * @param vm the VM of the router
 * @param dataCentre the data centre of the VM
 * @param callersPort the port for callers
 * @param operatorsPort the port for operators
 * @param peersPort the port for other routers
 * @param log the host and port of the log service
 * @param vms the host and port of the VM list
 * @param others further settings
 */
public record RouterSettings(String vm, String dataCentre, int callersPort, int operatorsPort, int peersPort,
		String log, String vms, List<Setting> others) {

	/**
	 * The secret of the operators.
	 */
	static final String OPERATORS_SECRET = "the-operators-secret-of-a-test";

	/**
	 * The secret of the routers.
	 */
	private static final String PEERS_SECRET = "the-routers-secret-of-a-test";

	/**
	 * Creates settings.
	 */
	public RouterSettings {
		others = List.copyOf(others);
	}

	/**
	 * Writes the settings to a file.
	 * @param file the file
	 */
	public void write(Path file) {
		Map<String, List<String>> sections = new LinkedHashMap<>();
		for (Setting setting : all()) {
			sections.computeIfAbsent(setting.section(), (ignored) -> new ArrayList<>())
				.add(setting.key() + " = " + setting.value());
		}
		List<String> lines = new ArrayList<>();
		sections.forEach((section, entries) -> {
			lines.add("[" + section + "]");
			lines.addAll(entries);
			lines.add("");
		});
		try {
			Files.write(file, lines);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private List<Setting> all() {
		List<Setting> all = new ArrayList<>(
				List.of(new Setting("router", "vm", this.vm), new Setting("router", "data-centre", this.dataCentre),
						new Setting("platform", "log", "http://" + this.log),
						new Setting("platform", "list", "http://" + this.vms)));
		all.addAll(listener("callers", this.callersPort));
		all.addAll(listener("operators", this.operatorsPort));
		all.add(new Setting("operators", "secret", OPERATORS_SECRET));
		all.addAll(listener("peers", this.peersPort));
		all.add(new Setting("peers", "secret", PEERS_SECRET));
		all.addAll(this.others);
		return all;
	}

	private static List<Setting> listener(String section, int port) {
		return List.of(new Setting(section, "host", "127.0.0.1"), new Setting(section, "port", Integer.toString(port)));
	}

	/**
	 * One setting.
	 *
	 * @param section the section that it stands in
	 * @param key its key
	 * @param value its value
	 */
	public record Setting(String section, String key, String value) {

	}

}
