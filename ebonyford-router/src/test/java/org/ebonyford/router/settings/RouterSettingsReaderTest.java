package org.ebonyford.router.settings;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.finding.Finding;
import org.ebonyford.finding.FindingsException;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

/**
 * Tests {@link RouterSettingsReader}.
 */
public class RouterSettingsReaderTest {

	private static final String TEXT = """
			[router]
			vm = entry-1
			data-centre = levi
			[operators]
			secret = 0123456789
			[peers]
			secret-variable = PEERS
			[platform]
			log = http://127.0.0.1:9000
			list = http://127.0.0.1:9001
			""";

	private final RouterSettingsReader reader = new RouterSettingsReader(
			(name) -> Optional.of("from-the-variable").filter((value) -> name.equals("PEERS")),
			(path) -> path.toString().startsWith("/there"));

	@Test
	public void testSettingsAreRead() {
		RouterSettings settings = this.reader.read("router.ini", TEXT + "[loop]\ntick = 20 ms\n");
		assertEquals(settings.vm(), new VmId("entry-1"));
		assertEquals(settings.value(RouterKeys.Loop.TICK), Long.valueOf(20));
	}

	@Test
	public void testStandardValuesCountWhereNothingIsSet() {
		RouterSettings settings = this.reader.read("router.ini", TEXT);
		assertEquals(settings.callers(), new Listener("0.0.0.0", 8080, Optional.empty()));
		assertEquals(settings.value(RouterKeys.Callers.MAX_BODY), Long.valueOf(4 << 20));
	}

	@Test
	public void testSecretsComeFromTheFileOrTheEnvironment() {
		RouterSettings settings = this.reader.read("router.ini", TEXT);
		assertEquals(settings.operatorsSecret(), new Secret("0123456789"));
		assertEquals(settings.peersSecret(), new Secret("from-the-variable"));
	}

	@Test
	public void testTextFormShowsNoSecret() {
		assertFalse(this.reader.read("router.ini", TEXT).toString().contains("0123456789"));
	}

	@DataProvider
	public Object[][] faults() {
		return new Object[][] { { "vm = entry-1", "", "router.ini:1 [router] vm: The key is missing" },
				{ "[router]", "[router]\ncolour = red", "router.ini:2 [router] colour: The key is unknown" },
				{ "[router]", "[ruder]\n[router]", "router.ini:1 [ruder]: The section is unknown" },
				{ "[router]", "[loop]\ntick = 20\n[router]", "router.ini:2 [loop] tick: \"20\" is not valid" },
				{ "[router]", "[loop]\ntick = 20 parsecs\n[router]", "router.ini:2 [loop] tick: \"20 parsecs\" is" },
				{ "[router]", "[loop]\ntick = 1 s\n[router]",
						"router.ini:1 [loop] pause: The value must be more than" },
				{ "secret = 0123456789", "", "router.ini:4 [operators] secret: Give either" },
				{ "= PEERS", "= OTHER", "router.ini:7 [peers] secret-variable: The environment variable OTHER" },
				{ "[peers]", "[peers]\nport = 8081", "router.ini:7 [peers] port: The port is that of [operators]" },
				{ "[peers]", "[peers]\ntls-certificate = /there/c\ntls-key = /there/k",
						"router.ini:7 [peers] tls-certificate: Give both" },
				{ "[operators]", "[operators]\ntls-certificate = /c\ntls-key = /there/k",
						"router.ini:5 [operators] tls-certificate: The file /c cannot be read" },
				{ "http://127.0.0.1:9000", "127.0.0.1", "router.ini:9 [platform] log: \"127.0.0.1\" is not valid" },
				{ "[router]", "[dispatch]\nhandover = 900 ms\n[router]",
						"router.ini:2 [dispatch] handover: The value must be more than [dispatch] grant-validity" },
				{ "[router]", "[platform]\n[router]", "router.ini:9 [platform]: The section stands in line 1" } };
	}

	@Test(dataProvider = "faults")
	public void testFaultIsFound(String part, String replacement, String finding) {
		List<Finding> findings = findings(TEXT.replace(part, replacement));
		assertEquals(findings.stream().filter((one) -> one.toString().startsWith(finding)).count(), 1,
				findings.toString());
	}

	@Test
	public void testAllFaultsAreFoundAtOnce() {
		assertEquals(findings(TEXT.replace("vm =", "wm =").replace("= PEERS", "= OTHER") + "[loop]\ntick = x\n").size(),
				4);
	}

	private List<Finding> findings(String text) {
		return expectThrows(FindingsException.class, () -> this.reader.read("router.ini", text)).findings();
	}

}
