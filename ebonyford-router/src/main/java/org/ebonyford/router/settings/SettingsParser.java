package org.ebonyford.router.settings;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.ebonyford.finding.Findings;
import org.ebonyford.finding.Place;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.VmId;
import org.ebonyford.ini.IniFile;
import org.ebonyford.ini.IniSection;
import org.ebonyford.ini.SectionReader;

/**
 * Parses one file of settings and collects what is wrong with it.
 */
final class SettingsParser {

	/**
	 * The name of the file.
	 */
	private final String file;

	/**
	 * Looks up what the settings refer to.
	 */
	private final RouterSettingsReader environment;

	/**
	 * The findings so far.
	 */
	private final Findings findings = new Findings();

	/**
	 * The sections of the file by name.
	 */
	private final Map<String, IniSection> sections = new HashMap<>();

	/**
	 * The values that were read and the standard values.
	 */
	private final Map<Setting<?>, Object> values = new HashMap<>();

	SettingsParser(String file, RouterSettingsReader environment) {
		this.file = file;
		this.environment = environment;
	}

	/**
	 * Parses the file.
	 * @param text the text of the file
	 * @return the settings
	 */
	RouterSettings parse(String text) {
		Map<String, List<Setting<?>>> known = RouterKeys.all()
			.stream()
			.collect(Collectors.groupingBy(Setting::section, LinkedHashMap::new, Collectors.toList()));
		IniFile.read(this.file, text, this.findings).sections().forEach((section) -> remember(section, known));
		known.forEach(this::section);
		Optional<Secret> operators = secret(RouterKeys.Operators.SECRET, RouterKeys.Operators.SECRET_VARIABLE);
		Optional<Secret> peers = secret(RouterKeys.Peers.SECRET, RouterKeys.Peers.SECRET_VARIABLE);
		new Contradictions(this).check();
		RouterKeys.all().forEach(this::file);
		this.findings.throwIfAny();
		return new RouterSettings(new VmId(require(RouterKeys.Router.VM)),
				new DataCentreId(require(RouterKeys.Router.DATA_CENTRE)), callers(), operators(), peers(),
				operators.orElseThrow(), peers.orElseThrow(), this.values);
	}

	/**
	 * Returns the value of a setting.
	 * @param setting the setting
	 * @param <T> the type of the value
	 * @return the value, or empty if there is none
	 */
	<T> Optional<T> value(Setting<T> setting) {
		return RouterSettings.find(this.values, setting);
	}

	/**
	 * Adds a finding.
	 * @param setting the setting that the finding is about
	 * @param message what is wrong
	 */
	void find(Setting<?> setting, String message) {
		IniSection section = this.sections.get(setting.section());
		this.findings.add((section != null) ? section.place(setting.key())
				: new Place(this.file, setting.section(), setting.key(), 0), message);
	}

	private void remember(IniSection section, Map<String, List<Setting<?>>> known) {
		if (known.containsKey(section.header())) {
			this.sections.put(section.header(), section);
			return;
		}
		this.findings.add(section.place(),
				"The section is unknown; expected one of " + String.join(", ", known.keySet()));
	}

	private void section(String name, List<Setting<?>> settings) {
		IniSection section = this.sections.getOrDefault(name, new IniSection(this.file, name, 0, Map.of()));
		SectionReader reader = new SectionReader(section, this.findings);
		settings.forEach((setting) -> read(reader, section, setting));
		reader.finish();
	}

	private <T> void read(SectionReader reader, IniSection section, Setting<T> setting) {
		Optional<T> value = (setting.presence() == Setting.Presence.REQUIRED)
				? reader.required(setting.key(), setting.format()) : reader.optional(setting.key(), setting.format());
		boolean absent = !section.entries().containsKey(setting.key());
		(absent ? setting.standardValue() : value).ifPresent((present) -> this.values.put(setting, present));
	}

	private Optional<Secret> secret(Setting<Secret> inline, Setting<String> variable) {
		boolean both = value(inline).isPresent() && value(variable).isPresent();
		if (both || (value(inline).isEmpty() && value(variable).isEmpty())) {
			find(inline, "Give either " + inline.key() + " or " + variable.key());
			return Optional.empty();
		}
		return value(inline).or(() -> value(variable).flatMap((name) -> lookUp(variable, name)));
	}

	private Optional<Secret> lookUp(Setting<String> variable, String name) {
		Optional<Secret> found = this.environment.variables().apply(name).flatMap(SettingFormats.SECRET::parse);
		if (found.isEmpty()) {
			find(variable, "The environment variable " + name + " does not hold " + SettingFormats.SECRET.expected());
		}
		return found;
	}

	private void file(Setting<?> setting) {
		if (setting.format() == SettingFormats.FILE) {
			value(setting).filter((path) -> !this.environment.readable().test((Path) path))
				.ifPresent((path) -> find(setting, "The file " + path + " cannot be read"));
		}
	}

	private Listener callers() {
		return new Listener(require(RouterKeys.Callers.HOST), require(RouterKeys.Callers.PORT),
				tls(RouterKeys.Callers.TLS_CERTIFICATE, RouterKeys.Callers.TLS_KEY, Optional.empty()));
	}

	private Listener operators() {
		return new Listener(require(RouterKeys.Operators.HOST), require(RouterKeys.Operators.PORT),
				tls(RouterKeys.Operators.TLS_CERTIFICATE, RouterKeys.Operators.TLS_KEY, Optional.empty()));
	}

	private Listener peers() {
		return new Listener(require(RouterKeys.Peers.HOST), require(RouterKeys.Peers.PORT), tls(
				RouterKeys.Peers.TLS_CERTIFICATE, RouterKeys.Peers.TLS_KEY, value(RouterKeys.Peers.TLS_AUTHORITIES)));
	}

	private Optional<Listener.Tls> tls(Setting<Path> certificate, Setting<Path> key, Optional<Path> authorities) {
		return value(certificate).map((path) -> new Listener.Tls(path, require(key), authorities));
	}

	private <T> T require(Setting<T> setting) {
		return value(setting).orElseThrow();
	}

}
