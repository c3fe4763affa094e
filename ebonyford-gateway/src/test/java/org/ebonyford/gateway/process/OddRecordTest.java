package org.ebonyford.gateway.process;

import java.io.IOException;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.gateway.process.FakeUpstream.Script;
import org.ebonyford.gateway.store.StoreTopic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Another writer leaves an entry that cannot be read among those of the upstreams, the
 * gateways or the operator.
 */
public class OddRecordTest {

	private FakeStore store;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() {
		this.store = new FakeStore();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] odd() {
		return new Object[][] { { StoreTopic.UPSTREAMS, "models 70000 dc1 false" },
				{ StoreTopic.UPSTREAMS, "models -1 dc1 false" },
				{ StoreTopic.UPSTREAMS, "models 99999999999 dc1 false" },
				{ StoreTopic.UPSTREAMS, "models port dc1 false" }, { StoreTopic.OPERATOR, "99999999999999999999" } };
	}

	@Test(dataProvider = "odd")
	public void testOddRecordCostsNothingButItself(StoreTopic topic, String value) {
		this.fixture = new GatewayFixture(this.store, false).configured();
		this.store.write(topic, key(topic), value);
		assertServes();
	}

	@Test(dataProvider = "odd")
	public void testOddRecordIsLeftOutAtTheStart(StoreTopic topic, String value) {
		this.store.write(StoreTopic.UPSTREAMS, "a", value);
		this.fixture = new GatewayFixture(this.store, false).configured();
		assertServes();
	}

	@Test
	public void testAnnouncementWithAnOddPortIsLeftOut() {
		this.fixture = new GatewayFixture(this.store, true).configured();
		this.store.write(StoreTopic.GATEWAYS, "127.0.0.1:70000", "dc1 7100");
		this.store.write(StoreTopic.GATEWAYS, "127.0.0.1:7101", "dc1 99999");
		assertServes();
		String log = this.fixture.log();
		assertTrue(!log.contains("\"gateways\":2") && !log.contains("\"gateways\":3"), log);
	}

	private void assertServes() {
		this.fixture.upstream("good", "models", Script.ok("x"));
		assertTrue(this.fixture.call("/model/1", "a1", "").startsWith("HTTP/1.1 200"), this.fixture.log());
		assertTrue(this.fixture.log().contains("UNREADABLE_RECORD"), this.fixture.log());
		assertEquals(this.fixture.readiness(), 200);
	}

	private static String key(StoreTopic topic) {
		return (topic == StoreTopic.OPERATOR) ? "catalog" : "odd";
	}

}
