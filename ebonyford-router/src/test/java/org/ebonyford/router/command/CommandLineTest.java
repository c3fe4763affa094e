package org.ebonyford.router.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.router.log.FakeLogClient;
import org.ebonyford.router.settings.RouterSettingsReader;
import org.ebonyford.router.tls.TestAuthority;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link CommandLine}.
 */
public class CommandLineTest {

	private static final String[] PUBLISH = { "publish", "--plans", "plans.ini", "--uses", "uses.ini" };

	private Map<String, String> files;

	private Map<String, String> variables;

	private Map<String, String> documents;

	private FakeLogClient log;

	private ByteArrayOutputStream printed;

	private boolean launched;

	@BeforeMethod
	public void start() {
		this.files = new HashMap<>(Map.of("plans.ini", "[plan gold]\nweight = 1\nmax-queued = 1\n", "uses.ini", """
				[pool p]
				kind = service
				warm-limit = 1
				cold-limit = 1
				[upstream u]
				pool = p
				data-centre = levi
				address = 127.0.0.1:1
				""", "router.ini", """
				[router]
				vm = a
				data-centre = levi
				[operators]
				secret = 0123456789
				[peers]
				secret = 0123456789
				[platform]
				log = http://127.0.0.1:1
				list = http://127.0.0.1:2
				"""));
		this.variables = new HashMap<>(
				Map.of("EBONYFORD_LOG", "http://127.0.0.1:1", "EBONYFORD_OPERATORS_SECRET", "0123456789"));
		this.documents = new HashMap<>();
		this.log = new FakeLogClient();
		this.launched = false;
	}

	@Test
	public void testRequestIsExplainedFromLogs() {
		this.files.put("a.log",
				"{\"at\":5,\"router\":\"a\",\"event\":\"REFUSED\",\"request\":\"r1\",\"status\":429}\n{\n");
		assertEquals(run("explain", "--request", "r1", "a.log"), ExitCode.OK);
		assertTrue(printed().contains("5 a REFUSED status=429") && printed().contains("1 lines could not be read"),
				printed());
		assertEquals(run("explain", "--request", "r2", "a.log"), ExitCode.REFUSED);
	}

	@Test
	public void testPublicationIsAccepted() {
		assertEquals(run(PUBLISH), ExitCode.OK);
		assertTrue(printed().contains("Version 0 is in force."), printed());
	}

	@Test
	public void testFaultyPublicationIsRefusedWithItsFindings() {
		this.files.put("plans.ini", "[plan gold]\nweight = 0\nmax-queued = 1\n");
		assertEquals(run(PUBLISH), ExitCode.REFUSED);
		assertTrue(printed().startsWith("plans.ini:2 [plan gold] weight:"), printed());
		assertEquals(this.log.size(), 0);
	}

	@Test
	public void testOutdatedPublicationLosesTheRace() {
		run(PUBLISH);
		run("dc", "out", "levi");
		assertEquals(run("publish", "--plans", "plans.ini", "--uses", "uses.ini", "--based-on", "0"),
				ExitCode.RACE_LOST);
		assertTrue(printed().contains("replaced by ann"), printed());
	}

	@Test
	public void testUnreachableLogIsTold() {
		this.log.failReads();
		assertEquals(run(PUBLISH), ExitCode.UNREACHABLE);
		assertTrue(printed().contains("Nothing changed."), printed());
	}

	@Test
	public void testUnknownCommandIsAUsageError() {
		assertEquals(run("dance"), ExitCode.USAGE);
	}

	@Test
	public void testMissingOptionIsAUsageError() {
		assertEquals(run("publish", "--plans", "plans.ini"), ExitCode.USAGE);
	}

	@Test
	public void testHelpIsPrinted() {
		assertEquals(run("--help"), ExitCode.OK);
		assertTrue(printed().contains("publish"), printed());
	}

	@Test
	public void testDataCentreGoesOutAndBack() {
		run(PUBLISH);
		run("dc", "out", "levi");
		run("show");
		assertTrue(printed().contains("dataCentresOut: [levi]"), printed());
		run("dc", "in", "levi");
		run("show");
		assertTrue(printed().contains("dataCentresOut: []"), printed());
	}

	@Test
	public void testUnknownDataCentreIsRefused() {
		run(PUBLISH);
		assertEquals(run("dc", "out", "atlantis"), ExitCode.REFUSED);
	}

	@Test
	public void testVmAndUpstreamGoOut() {
		run(PUBLISH);
		run("vm", "out", "entry-1");
		run("upstream", "out", "u");
		run("show", "--json");
		assertTrue(printed().contains("\"vmsOut\":[\"entry-1\"],\"upstreamsOut\":[\"u\"]"), printed());
	}

	@Test
	public void testShowPrintsThePlans() {
		run(PUBLISH);
		run("show", "--plans");
		assertEquals(printed().strip().lines().toList(), this.files.get("plans.ini").lines().toList());
	}

	@Test
	public void testShowWithoutStateIsRefused() {
		assertEquals(run("show"), ExitCode.REFUSED);
	}

	@Test
	public void testCheckTellsFindingsAsJson() {
		this.files.put("uses.ini", "");
		assertEquals(run("check", "--json", "--plans", "plans.ini", "--uses", "uses.ini"), ExitCode.REFUSED);
		assertTrue(printed().startsWith("{\"exitCode\":1,\"findings\":[{\"file\":\"uses.ini\""), printed());
	}

	@Test
	public void testRouterIsLaunched() {
		assertEquals(run("router", "--settings", "router.ini"), ExitCode.OK);
		assertTrue(this.launched);
	}

	@Test
	public void testRouterWithFaultySettingsIsNotLaunched() {
		this.files.put("router.ini", "");
		assertEquals(run("router", "--settings", "router.ini"), ExitCode.REFUSED);
	}

	@Test
	public void testStatusShowsTheVersionOfEachRouter() {
		this.documents.put("http://127.0.0.1:5/status", "{\"vm\":\"a\",\"controlVersion\":7}");
		assertEquals(run("status", "--router", "http://127.0.0.1:5"), ExitCode.OK);
		assertTrue(printed().contains("vm=\"a\" controlVersion=7"), printed());
	}

	@Test
	public void testStatusAsksTheListedRouters() {
		this.documents.put("http://127.0.0.1:2/vms", "{\"vms\":[{\"address\":\"10.0.0.1:8082\"}]}");
		this.documents.put("http://10.0.0.1:8081/status", "{\"controlVersion\":7}");
		assertEquals(run("status", "--list", "http://127.0.0.1:2"), ExitCode.OK);
	}

	@Test
	public void testStatusAsksTheListedRoutersOverTls() throws IOException {
		this.documents.put("http://127.0.0.1:2/vms", "{\"vms\":[{\"address\":\"10.0.0.1:8082\"}]}");
		this.documents.put("https://10.0.0.1:8081/status", "{\"controlVersion\":7}");
		String authorities = new TestAuthority("authority").certificate().toString();
		assertEquals(run("status", "--list", "http://127.0.0.1:2", "--authorities", authorities), ExitCode.OK);
	}

	@Test
	public void testUnusableAuthoritiesAreNamed() {
		assertEquals(run("status", "--router", "https://127.0.0.1:5", "--authorities", "none.pem"), ExitCode.REFUSED);
		assertTrue(printed().contains("none.pem"), printed());
	}

	@Test
	public void testStatusTellsARouterThatDoesNotAnswer() {
		assertEquals(run("status", "--router", "http://127.0.0.1:5"), ExitCode.UNREACHABLE);
		assertTrue(printed().contains("no answer"), printed());
	}

	@Test
	public void testOutcomeIsWrittenAsJson() {
		run("publish", "--plans", "plans.ini", "--uses", "uses.ini", "--json");
		assertEquals(printed().strip(), "{\"exitCode\":0,\"outcome\":\"accepted\",\"version\":0}");
	}

	@Test
	public void testEvidenceOfAPeriodWithoutRecordsIsNotWhole() {
		assertEquals(run("evidence", "--from", "2026-12-04T08:00:00Z", "--to", "2026-12-04T09:00:00Z"),
				ExitCode.REFUSED);
		assertTrue(printed().contains("AT_MOST_ONCE: RECORDS_MISSING"), printed());
	}

	@Test
	public void testEvidenceNeedsAPeriod() {
		assertEquals(run("evidence", "--from", "2026-12-04T09:00:00Z", "--to", "2026-12-04T08:00:00Z"),
				ExitCode.REFUSED);
		assertTrue(printed().contains("--from must be before --to"), printed());
	}

	@Test
	public void testEvidenceWithoutLogIsUnreachable() {
		this.log.failReads();
		assertEquals(run("evidence", "--from", "2026-12-04T08:00:00Z", "--to", "2026-12-04T09:00:00Z"),
				ExitCode.UNREACHABLE);
	}

	@Test
	public void testSettingsAreAnIniFile() {
		assertEquals(run("settings"), ExitCode.OK);
		assertTrue(printed().contains("[dispatch]"), printed());
	}

	private ExitCode run(String... arguments) {
		this.printed = new ByteArrayOutputStream();
		PrintStream stream = new PrintStream(this.printed);
		return new CommandLine(environment(), stream, stream).run(arguments);
	}

	private String printed() {
		return this.printed.toString();
	}

	private CommandEnvironment environment() {
		RouterSettingsReader reader = new RouterSettingsReader((name) -> Optional.empty(), (path) -> true);
		return new CommandEnvironment(this::file, reader, (name) -> Optional.ofNullable(this.variables.get(name)),
				(address) -> this.log, (address, secret) -> document(address.toString()), (settings) -> {
					this.launched = true;
					return CompletableFuture.completedFuture(null);
				}, "ann", () -> "name" + this.log.size(), () -> {
				});
	}

	private String file(String name) {
		return Optional.ofNullable(this.files.get(name))
			.orElseThrow(() -> new UncheckedIOException(new IOException(name)));
	}

	private CompletableFuture<String> document(String address) {
		return Optional.ofNullable(this.documents.get(address))
			.map(CompletableFuture::completedFuture)
			.orElseGet(() -> CompletableFuture.failedFuture(new IOException(address)));
	}

}
