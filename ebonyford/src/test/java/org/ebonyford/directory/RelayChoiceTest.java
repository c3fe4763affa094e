package org.ebonyford.directory;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.directory.RouterRoster.Member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

public class RelayChoiceTest {

	@Test
	public void testFewRoutersReadThroughOne() {
		assertEquals(readers(routers(6)).size(), 1);
	}

	@Test
	public void testManyRoutersReadThroughOneOfTheirDataCentre() {
		List<Member> routers = routers(80);
		assertEquals(readers(routers).size(), 4);
		Member self = routers.get(0);
		Optional<Member> relay = choose(self, routers);
		relay.ifPresent((member) -> assertEquals(member.dataCentre(), self.dataCentre()));
	}

	@Test
	public void testAnotherTakesOverFromOneThatIsGone() {
		List<Member> routers = routers(6);
		Member first = routers.stream().filter((member) -> choose(member, routers).isEmpty()).findFirst().orElseThrow();
		List<Member> rest = new ArrayList<>(routers);
		rest.remove(first);
		assertEquals(readers(rest).size(), 1);
		assertNotEquals(readers(rest), Set.of(first.name()));
	}

	@Test
	public void testRouterThatHearsNobodyReadsItself() {
		assertEquals(RelayChoice.of(routers(1).get(0), List.of()), Optional.empty());
	}

	private static Set<String> readers(List<Member> routers) {
		Set<String> readers = new HashSet<>();
		routers.forEach((self) -> readers.add(choose(self, routers).orElse(self).name()));
		return readers;
	}

	private static Optional<Member> choose(Member self, List<Member> routers) {
		return RelayChoice.of(self, routers.stream().filter((member) -> member != self).toList());
	}

	private static List<Member> routers(int count) {
		List<Member> routers = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			routers.add(new Member("router-" + index, "dc" + index % 4, "10.0.0." + index, 1, 2, 0));
		}
		return routers;
	}

}
