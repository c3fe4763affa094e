package org.ebonyford.membership;

import java.util.List;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link Members}.
 */
public class MembersTest {

	private Members members;

	@BeforeMethod
	public void start() {
		this.members = new Members();
		this.members.offered(list(2, entry("a", false), entry("b", true)));
	}

	@Test
	public void testHigherRevisionReplacesTheList() {
		assertTrue(this.members.offered(list(3, entry("c", false))));
		assertFalse(this.members.live(new VmId("a")));
	}

	@Test
	public void testLowerRevisionIsIgnored() {
		assertFalse(this.members.offered(list(1, entry("c", false))));
		assertTrue(this.members.live(new VmId("a")));
	}

	@Test
	public void testLeavingVmIsNotLive() {
		assertTrue(this.members.leaving(new VmId("b")));
		assertFalse(this.members.live(new VmId("b")));
	}

	@Test
	public void testUnknownVmHasNoDataCentre() {
		assertTrue(this.members.dataCentre(new VmId("c")).isEmpty());
		assertEquals(this.members.dataCentre(new VmId("a")).orElseThrow(), new DataCentreId("east"));
	}

	@Test
	public void testUpstreamsThatThePlatformTakesAwayAreLeaving() {
		assertEquals(this.members.leavingUpstreams(), Set.of(new UpstreamId("u")));
	}

	private static VmEntry entry(String vm, boolean leaving) {
		return new VmEntry(new VmId(vm), new DataCentreId("east"), "127.0.0.1:1", leaving);
	}

	private static VmList list(long revision, VmEntry... entries) {
		return new VmList(revision, List.of(entries), List.of("u"));
	}

}
