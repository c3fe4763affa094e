package org.ebonyford.router.process;

import java.util.Optional;

import org.testng.annotations.Test;

import org.ebonyford.claim.ClaimSettings;
import org.ebonyford.dispatch.DispatchSettings;
import org.ebonyford.reducer.ReducerSettings;
import org.ebonyford.router.settings.RouterSettingsReader;
import org.ebonyford.suspect.SuspectSettings;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link SettingsMapping}.
 */
public class SettingsMappingTest {

	private static final String TEXT = """
			[router]
			vm = levi-1
			data-centre = levi
			[operators]
			secret = operators-0123456789
			[peers]
			secret = peers-0123456789abcdef
			[platform]
			log = http://127.0.0.1:9000
			list = http://127.0.0.1:9001
			""";

	private final ReducerSettings settings = new SettingsMapping(
			new RouterSettingsReader((name) -> Optional.empty(), (path) -> true).read("router.ini", TEXT))
		.reducer();

	@Test
	public void testStandardTimesOfDispatchAreItsDefaults() {
		assertEquals(this.settings.dispatch().times(), DispatchSettings.defaults().times());
		assertEquals(this.settings.dispatch().retries(), DispatchSettings.defaults().retries());
	}

	@Test
	public void testStandardSettingsOfClaimsAreTheirDefaults() {
		assertEquals(this.settings.claims(), ClaimSettings.DEFAULT);
	}

	@Test
	public void testStandardSettingsOfSuspicionAreTheirDefaults() {
		assertEquals(this.settings.suspects(), SuspectSettings.DEFAULT);
	}

}
