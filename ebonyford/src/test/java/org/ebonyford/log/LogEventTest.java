package org.ebonyford.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link LogEvent}.
 */
public class LogEventTest {

	private static final Path CATALOGUE = Path.of("..", "docs", "events.md");

	@Test
	public void testNumbersAreUnique() {
		long codes = Arrays.stream(LogEvent.values()).map(LogEvent::code).distinct().count();
		assertEquals(codes, LogEvent.values().length);
	}

	@Test
	public void testCatalogueAgreesWithTheEvents() throws IOException {
		List<String> expected = Arrays.stream(LogEvent.values()).map(LogEventTest::row).toList();
		List<String> rows = Files.readAllLines(CATALOGUE).stream().filter((line) -> line.startsWith("| EF-")).toList();
		assertEquals(rows, expected);
	}

	private static String row(LogEvent event) {
		return "| " + event.code() + " | " + event.name() + " | " + event.severity() + " | " + event.meaning() + " |";
	}

}
