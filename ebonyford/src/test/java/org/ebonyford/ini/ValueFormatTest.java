package org.ebonyford.ini;

import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link ValueFormat}.
 */
public class ValueFormatTest {

	@DataProvider
	public Object[][] times() {
		return new Object[][] { { "250 ms", Optional.of(250L) }, { "2s", Optional.of(2_000L) },
				{ "1 min", Optional.of(60_000L) }, { "999999999 d", Optional.of(999_999_999L * 86_400_000L) },
				{ "0 ms", Optional.empty() }, { "250", Optional.empty() }, { "-1 s", Optional.empty() },
				{ "1.5 s", Optional.empty() }, { "1  s", Optional.empty() }, { "1 KiB", Optional.empty() },
				{ "9999999999 d", Optional.empty() } };
	}

	@Test(dataProvider = "times")
	public void testTimeNeedsANumberAndAUnit(String text, Optional<Long> millis) {
		assertEquals(ValueFormat.ForQuantity.ofTime(1).parse(text), millis);
	}

	@DataProvider
	public Object[][] addresses() {
		return new Object[][] { { "127.0.0.1:8000", true }, { "engine-1.levi:1", true }, { "[::1]:8000", true },
				{ "127.0.0.1", false }, { ":8000", false }, { "a:0", false }, { "a:65536", false }, { "a b:1", false },
				{ "::1:8000", false }, { "http://a:1", false } };
	}

	@Test(dataProvider = "addresses")
	public void testAddressNeedsAHostAndAPort(String text, boolean valid) {
		assertEquals(ValueFormat.ForAddress.INSTANCE.parse(text).isPresent(), valid);
	}

	@Test
	public void testListNeedsElementsOnBothSidesOfAComma() {
		ValueFormat.ForList<String> list = new ValueFormat.ForList<>(ValueFormat.ForPattern.NAME);
		assertEquals(list.parse("a ,b").orElseThrow().size(), 2);
		assertEquals(list.parse("a,"), Optional.empty());
		assertEquals(list.parse(""), Optional.empty());
	}

}
