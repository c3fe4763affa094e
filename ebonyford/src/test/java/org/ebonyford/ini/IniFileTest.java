package org.ebonyford.ini;

import java.util.List;

import org.testng.annotations.Test;

import org.ebonyford.finding.Findings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link IniFile}.
 */
public class IniFileTest {

	private final Findings none = new Findings();

	@Test
	public void testEntriesKnowTheirLines() {
		IniFile file = IniFile.read("f", "; c\n\n[ a  b ]\nk = v = w\n# c\nl=\n", this.none);
		assertEquals(file.sections().get(0).header(), "a b");
		assertEquals(file.sections().get(0).entries().get("k"), new IniEntry("k", "v = w", 4));
		assertEquals(file.sections().get(0).entries().get("l"), new IniEntry("l", "", 6));
		assertTrue(this.none.isEmpty());
	}

	@Test
	public void testLineEndsOfWindowsAreRead() {
		IniFile file = IniFile.read("f", "[a]\r\nk = v\r\n", this.none);
		assertEquals(file.sections().get(0).entries().get("k").value(), "v");
	}

	@Test
	public void testEntriesOfALeftOutSectionAreLeftOut() {
		Findings findings = new Findings();
		IniFile file = IniFile.read("f", "[a]\nk = 1\n[a]\nk = 2\n[b\nk = 3\n", findings);
		assertEquals(file.sections().size(), 1);
		assertEquals(file.sections().get(0).entries().get("k").value(), "1");
		assertEquals(findings.all().stream().map((finding) -> finding.place().line()).toList(), List.of(3, 5));
	}

}
