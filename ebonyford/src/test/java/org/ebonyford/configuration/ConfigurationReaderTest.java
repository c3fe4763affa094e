package org.ebonyford.configuration;

import java.util.List;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.finding.Finding;
import org.ebonyford.finding.FindingsException;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.PoolId;
import org.ebonyford.identity.RequestClass;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/**
 * Tests {@link ConfigurationReader}.
 */
public class ConfigurationReaderTest {

	private static final String DIGEST = "0123456789abcdef".repeat(4);

	private static final String PLANS = """
			; customers
			[plan gold]
			weight = 3
			max-queued = 20

			[organisation paws]
			plan = gold
			key-sha256 = DIGEST
			""".replace("DIGEST", DIGEST);

	private static final String USES = """
			[pool kieli]
			kind = engine
			warm-limit = 16
			cold-limit = 2

			[upstream kieli-1]
			pool = kieli
			data-centre = levi
			address = 127.0.0.1:8000

			[use gold kieli]
			classes = chat, summary
			""";

	@Test
	public void testWholeConfigurationIsRead() {
		Configuration configuration = ConfigurationReader.ForIni.INSTANCE.read(PLANS, USES);
		assertEquals(configuration.weight(new OrganisationId("paws")), 3);
		assertEquals(configuration.use(new OrganisationId("paws"), new PoolId("kieli")).orElseThrow().classes(),
				Set.of(new RequestClass("chat"), new RequestClass("summary")));
	}

	@DataProvider
	public Object[][] faultyPlans() {
		return new Object[][] { { "weight = 3", "weight = 0", "plans.ini:3 [plan gold] weight: \"0\" is not valid" },
				{ "weight = 3", "weight = x", "plans.ini:3 [plan gold] weight: \"x\" is not valid" },
				{ "weight = 3", "; none", "plans.ini:2 [plan gold] weight: The key is missing" },
				{ "weight = 3", "weight = 3\nweight = 4", "plans.ini:4 [plan gold] weight: The key stands in line 3" },
				{ "weight = 3", "weight = 3\ncolour = red", "plans.ini:4 [plan gold] colour: The key is unknown" },
				{ "weight = 3", "weight = 3\nnonsense", "plans.ini:4 [plan gold]: A line must read" },
				{ "plan = gold", "plan = silver", "plans.ini:7 [organisation paws] plan: There is no section" },
				{ DIGEST, "abc", "plans.ini:8 [organisation paws] key-sha256: \"abc\" is not valid" },
				{ "; customers", "weight = 1", "plans.ini:1 weight: The key stands before the first section" },
				{ "; customers", "[pool x]", "plans.ini:1 [pool x]: The section is unknown" },
				{ "; customers", "[plan]", "plans.ini:1 [plan]: The header needs 1 name" },
				{ "; customers", "[plan ?]", "plans.ini:1 [plan ?]: \"?\" is not valid" },
				{ "; customers", "[plan", "plans.ini:1: A section header must read" },
				{ "[organisation paws]",
						"[organisation owner]\nplan = gold\nkey-sha256 = " + DIGEST + "\n[organisation paws]",
						"plans.ini:11 [organisation paws] key-sha256: The value belongs to [organisation owner]" },
				{ "[organisation paws]", "[plan gold]", "plans.ini:6 [plan gold]: The section stands in line 2" } };
	}

	@Test(dataProvider = "faultyPlans")
	public void testFaultInThePlansIsFound(String part, String replacement, String finding) {
		assertOnly(PLANS.replace(part, replacement), USES, finding);
	}

	@DataProvider
	public Object[][] faultyUses() {
		return new Object[][] { { "kind = engine", "kind = boat", "uses.ini:2 [pool kieli] kind: \"boat\" is not" },
				{ "cold-limit = 2", "cold-limit = 17", "uses.ini:4 [pool kieli] cold-limit: The cold limit must not" },
				{ "pool = kieli", "pool = other", "uses.ini:7 [upstream kieli-1] pool: There is no section" },
				{ "127.0.0.1:8000", "127.0.0.1", "uses.ini:9 [upstream kieli-1] address: \"127.0.0.1\" is not" },
				{ "127.0.0.1:8000", "127.0.0.1:70000", "uses.ini:9 [upstream kieli-1] address: \"127.0.0.1:70000\"" },
				{ "[use gold kieli]", "[use tin kieli]",
						"uses.ini:11 [use tin kieli]: There is no section [plan tin]" },
				{ "[use gold kieli]", "[use gold]", "uses.ini:11 [use gold]: The header needs 2 names" },
				{ "chat, summary", "chat,,summary", "uses.ini:12 [use gold kieli] classes: \"chat,,summary\" is not" },
				{ "[use gold kieli]",
						"[upstream two]\npool = kieli\ndata-centre = levi\naddress = 127.0.0.1:8000\n[use gold kieli]",
						"uses.ini:14 [upstream two] address: The value belongs to [upstream kieli-1] in line 6" } };
	}

	@Test(dataProvider = "faultyUses")
	public void testFaultInTheUsesIsFound(String part, String replacement, String finding) {
		assertOnly(PLANS, USES.replace(part, replacement), finding);
	}

	@Test
	public void testEmptyFilesAreFound() {
		assertEquals(findings("", "").size(), 2);
	}

	@Test
	public void testAllFaultsOfBothFilesAreFoundAtOnce() {
		List<Finding> findings = findings(PLANS.replace("= 3", "= 0").replace("= 20", "= y"),
				USES.replace("= engine", "= boat").replace("= levi", "= "));
		assertEquals(findings.stream().map((finding) -> finding.place().line()).toList(), List.of(3, 4, 2, 8));
	}

	private static void assertOnly(String plans, String uses, String start) {
		List<Finding> findings = findings(plans, uses);
		assertEquals(findings.size(), 1, findings.toString());
		String text = findings.get(0).toString();
		assertEquals(text.substring(0, Math.min(text.length(), start.length())), start);
	}

	private static List<Finding> findings(String plans, String uses) {
		return expectThrows(FindingsException.class, () -> ConfigurationReader.ForIni.INSTANCE.read(plans, uses))
			.findings();
	}

}
