package org.ebonyford.router.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.Command;

import org.ebonyford.router.settings.RouterKeys;
import org.ebonyford.router.settings.Setting;

/**
 * Prints the settings of a router with their standard values.
 */
@Command(name = "settings", description = "Prints all settings of a router with their standard values as an INI file.")
public class SettingsOperation extends AbstractOperation {

	@Override
	Answer answer(CommandEnvironment environment) {
		List<String> lines = new ArrayList<>();
		Map<String, Object> fields = new LinkedHashMap<>();
		String section = "";
		for (Setting<?> setting : RouterKeys.all()) {
			if (!section.equals(setting.section())) {
				section = setting.section();
				lines.add("[" + section + "]");
			}
			lines.add("; " + setting.meaning());
			lines.add(line(setting));
			fields.put(section + "." + setting.key(), setting.standard());
		}
		return new Answer(ExitCode.OK, lines, fields);
	}

	private static String line(Setting<?> setting) {
		return switch (setting.presence()) {
			case REQUIRED -> setting.key() + " =";
			case OPTIONAL -> "; " + setting.key() + " =";
			case STANDARD -> setting.key() + " = " + setting.standard();
		};
	}

}
