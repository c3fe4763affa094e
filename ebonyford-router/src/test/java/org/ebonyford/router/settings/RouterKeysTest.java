package org.ebonyford.router.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link RouterKeys}.
 */
public class RouterKeysTest {

	private static final Path PAGE = Path.of("..", "docs", "settings.md");

	@Test
	public void testPageListsEachSettingInItsSection() throws IOException {
		List<String> expected = RouterKeys.all().stream().map(RouterKeysTest::row).toList();
		assertEquals(rows(), expected);
	}

	private static List<String> rows() throws IOException {
		StringBuilder section = new StringBuilder();
		return Files.readAllLines(PAGE).stream().peek((line) -> {
			if (line.startsWith("## ")) {
				section.replace(0, section.length(), line.substring(3));
			}
		}).filter((line) -> line.startsWith("| `")).map((line) -> section + " " + line).toList();
	}

	private static String row(Setting<?> setting) {
		String standard = switch (setting.presence()) {
			case REQUIRED -> "(required)";
			case OPTIONAL -> "(none)";
			case STANDARD -> "`" + setting.standard() + "`";
		};
		return setting.section() + " | `" + setting.key() + "` | " + standard + " | " + setting.meaning() + " |";
	}

}
