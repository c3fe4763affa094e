package org.ebonyford.request;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link RefusalReason}.
 */
public class RefusalReasonTest {

	private static final Path PAGE = Path.of("..", "docs", "operators.md");

	@Test
	public void testPageExplainsEachReason() throws IOException {
		String page = Files.readString(PAGE);
		assertEquals(Stream.of(RefusalReason.values()).filter((reason) -> !page.contains(row(reason))).toList().size(),
				0);
	}

	private static String row(RefusalReason reason) {
		String label = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
		return "\n| `" + label + "` | " + reason.status() + " | ";
	}

}
