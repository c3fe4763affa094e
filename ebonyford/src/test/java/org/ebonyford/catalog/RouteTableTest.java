package org.ebonyford.catalog;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RouteTableTest {

	private final RouteTable table = RouteTable.of(List.of(route("short", "a.example", "/x/"),
			route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/")));

	@Test
	public void testLongestPrefixIsFound() {
		assertEquals(this.table.find("a.example", "/x/y/z").orElseThrow().name(), "long");
		assertEquals(this.table.find("a.example", "/x/yy").orElseThrow().name(), "short");
	}

	@Test
	public void testHostIsComparedWithoutCaseAndPort() {
		assertEquals(this.table.find("A.Example:8080", "/x/").orElseThrow().name(), "short");
	}

	@Test
	public void testNoRouteIsFoundForAnotherHostOrPath() {
		assertTrue(this.table.find("b.example", "/x/y/").isEmpty());
		assertTrue(this.table.find("c.example", "/x/").isEmpty());
		assertTrue(this.table.find("a.example", "/x").isEmpty());
	}

	@Test
	public void testRequestsAreSharedByWeight() {
		Route route = new Route("r", "a.example", "/", RouteKind.IDEMPOTENT,
				List.of(new Backend("many", 90), new Backend("few", 10)), 1, 1, 1, 1, 0, true);
		long few = IntStream.range(0, 1_000).filter((hash) -> route.service(hash).equals("few")).count();
		assertEquals(few, 100);
	}

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, RouteKind.IDEMPOTENT, List.of(new Backend("s", 1)), 1, 1, 1, 1, 0, true);
	}

}
