package org.ebonyford.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.directory.UpstreamEntry;
import org.ebonyford.share.ShareDecision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class PlacementTest {

	private static final PlacementTerms TERMS = new PlacementTerms(600, 1, 400);

	private static final Work CHAT = Work
		.of(List.of(new PromptPart(1, 500), new PromptPart(2, 5_000), new PromptPart(3, 2_000)), 7_500, 300);

	private final ServicePace pace = new ServicePace();

	private final Placement engines = new Placement.ForEngines("dc", this.pace, () -> false);

	private final Placement transferring = new Placement.ForEngines("dc", this.pace, () -> true);

	private final Placement services = new Placement.ForServices("dc", this.pace);

	@Test
	public void testRoutersAgreeOnTheHomeOfAPrompt() {
		UpstreamState first = choose(states(6), TERMS).upstream();
		List<UpstreamState> others = states(6);
		Collections.reverse(others);
		assertEquals(choose(others, TERMS).upstream().entry().id(), first.entry().id());
	}

	@Test
	public void testBusyHomeIsLeft() {
		List<UpstreamState> states = states(6);
		UpstreamState home = choose(states, TERMS).upstream();
		home.recordSent(new Load(1, 100_000, 0), 0);
		assertNotEquals(choose(states, TERMS).upstream(), home);
	}

	@Test
	public void testOrganisationBeyondItsShareStaysAtTheHomes() {
		List<UpstreamState> states = states(6);
		states.forEach((state) -> state.recordSent(new Load(10, 0, 0), 0));
		UpstreamState home = choose(states, TERMS).upstream();
		home.recordSent(new Load(1, 100_000, 0), 0);
		UpstreamState second = choose(states, new PlacementTerms(600, 1.5, 400)).upstream();
		second.recordSent(new Load(1, 100_000, 0), 0);
		UpstreamState third = choose(states, new PlacementTerms(600, 1.5, 400)).upstream();
		assertTrue(third == home || third == second, "no third engine reads the shared parts");
		PlacementTerms lately = new PlacementTerms(600, 0.8, 1.5, 400, false, ShareDecision.UNLIMITED);
		UpstreamState fourth = choose(states, lately).upstream();
		assertTrue(fourth == home || fourth == second, "nor for who got less within the last second");
		PlacementTerms starved = new PlacementTerms(600, 0.4, 1.5, 400, false, ShareDecision.UNLIMITED);
		UpstreamState fifth = choose(states, starved).upstream();
		assertTrue(fifth != home && fifth != second, "who is starved goes anywhere");
	}

	/**
	 * The load of a prompt whose home is busy, among engines that transfer memory.
	 */
	@Test
	public void testEngineThatLacksSharedPartsFetchesThemFromTheHome() {
		List<UpstreamState> states = states(6);
		UpstreamState home = choose(states, TERMS).upstream();
		assertTrue(this.transferring.choose(CHAT, states, TERMS, 0).orElseThrow().prefixSource().isEmpty(),
				"the home fetches nothing");
		home.recordSent(new Load(1, 100_000, 0), 0);
		Choice choice = this.transferring.choose(CHAT, states, TERMS, 0).orElseThrow();
		assertNotEquals(choice.upstream(), home);
		assertEquals(choice.prefixSource().orElseThrow(), home);
		choice.upstream().prefixCache().add(CHAT);
		assertTrue(this.transferring.choose(CHAT, states, TERMS, 0).orElseThrow().prefixSource().isEmpty(),
				"what it keeps is not fetched again");
	}

	@Test
	public void testEngineWithoutMemoryIsLeftOut() {
		List<UpstreamState> states = states(2);
		states.get(0).recordSent(new Load(1, 0, 495_000), 0);
		assertEquals(choose(states, TERMS).upstream(), states.get(1));
		states.get(1).recordSent(new Load(1, 0, 495_000), 0);
		assertTrue(this.engines.choose(CHAT, states, TERMS, 0).isEmpty());
	}

	@Test
	public void testLoadOfPeersCounts() {
		List<UpstreamState> states = states(6);
		UpstreamState home = choose(states, TERMS).upstream();
		home.recordPeerLoad("peer", new Load(20, 100_000, 0), 0);
		assertNotEquals(choose(states, TERMS).upstream(), home);
		assertEquals(this.engines.choose(CHAT, states, TERMS, 5_000).orElseThrow().upstream(), home,
				"a peer that fell silent counts no more");
	}

	@Test
	public void testEngineThatFailsRequestsIsAvoided() {
		List<UpstreamState> states = states(6);
		UpstreamState home = choose(states, TERMS).upstream();
		for (int index = 0; index < 20; index++) {
			home.health().recordEnded(true, 0);
		}
		assertNotEquals(choose(states, TERMS).upstream(), home);
	}

	@Test
	public void testSlowUpstreamOfAServiceIsAvoided() {
		List<UpstreamState> states = states(2);
		for (int index = 0; index < 20; index++) {
			states.get(0).recordDuration(8, 0);
		}
		assertEquals(this.services.choose(Work.NONE, states, TERMS, 0).orElseThrow().upstream(), states.get(1));
	}

	@Test
	public void testFullUpstreamOfAServiceIsAvoided() {
		List<UpstreamState> states = states(2);
		for (int index = 0; index < 70; index++) {
			states.get(1).recordSent(new Load(1, 0, 0), 0);
		}
		assertEquals(this.services.choose(Work.NONE, states, TERMS, 0).orElseThrow().upstream(), states.get(0));
	}

	@Test
	public void testKeptPartsAreNotRead() {
		UpstreamState state = states(1).get(0);
		assertEquals(state.prefixCache().cachedTokens(CHAT), 0);
		state.prefixCache().add(CHAT);
		assertEquals(state.prefixCache().cachedTokens(CHAT), 7_500);
		Work other = Work.of(List.of(new PromptPart(9, 500), new PromptPart(2, 5_000)), 5_500, 1);
		assertEquals(state.prefixCache().cachedTokens(other), 0, "a part counts only with all parts before it");
	}

	@Test
	public void testLeastRecentlyUsedPartsYield() {
		PrefixCache cache = new PrefixCache(() -> 10_000);
		cache.add(CHAT);
		cache.add(Work.of(List.of(new PromptPart(9, 9_000)), 9_000, 1));
		assertEquals(cache.cachedTokens(CHAT), 0);
	}

	@Test
	public void testLimitShrinksWithTheUsedShare() {
		double starved = AdmissionControl.firstByteLimitMillis(400, 0.2, 10_000);
		double even = AdmissionControl.firstByteLimitMillis(400, 1, 10_000);
		double beyond = AdmissionControl.firstByteLimitMillis(400, 3, 10_000);
		assertTrue(starved > 400 && even < 400 && beyond <= even, starved + ", " + even + ", " + beyond);
		assertEquals(AdmissionControl.firstByteLimitMillis(400, 0.2, 90), 90.0,
				"a caller that leaves soon is not kept waiting");
	}

	@Test
	public void testNothingIsRefusedThatWaitsForNobody() {
		UpstreamState state = states(1).get(0);
		assertTrue(AdmissionControl.admits(new Choice(state, 5_000, 0, 0, 50_000, 0, 0, true),
				new PlacementTerms(100, 1, 400)));
		assertTrue(!AdmissionControl.admits(new Choice(state, 500, 300, 0, 0, 30_000, 0, true),
				new PlacementTerms(400, 1, 400)));
	}

	@Test
	public void testOrganisationsBeyondTheirShareGetSlotsThatAreToSpare() {
		UpstreamState state = states(1).get(0);
		Choice half = new Choice(state, 100, 0, 0, 0, 0, 32, true);
		assertTrue(AdmissionControl.admits(half, new PlacementTerms(400, 1, 400)));
		assertTrue(AdmissionControl.admits(half, new PlacementTerms(400, 5, 400)), "whose turn it is gets a free slot");
		assertFalse(AdmissionControl.admits(half, notItsTurn(5, false)), "the others leave it");
		assertFalse(AdmissionControl.admits(half, notItsTurn(1, false)),
				"also of an organisation that has used little");
		Choice waiting = new Choice(state, 100, 60, 0, 0, 0, 31, true);
		assertFalse(AdmissionControl.admits(waiting, notItsTurn(5, false)), "also where others wait");
		Choice calm = new Choice(state, 100, 0, 0, 0, 0, 31, true);
		assertTrue(AdmissionControl.admits(calm, notItsTurn(50, false)),
				"nobody is refused for a share beside a calm engine");
		assertFalse(AdmissionControl.admits(calm, notItsTurn(50, true)),
				"unless others are refused who have used less");
		Choice full = new Choice(state, 100, 0, 0, 0, 0, 64, true);
		assertFalse(AdmissionControl.admits(full, new PlacementTerms(400, 1.01, 400)));
		assertTrue(AdmissionControl.admits(full, new PlacementTerms(400, 1, 400)));
	}

	private static PlacementTerms notItsTurn(double usedShare, boolean leads) {
		return new PlacementTerms(400, usedShare, usedShare, 400, leads, new ShareDecision(false, 0.2));
	}

	/**
	 * The load of a prompt of tens of thousands of tokens beside running streams.
	 */
	@Test
	public void testPromptThatStallsStreamsGoesWhereFewRun() {
		List<UpstreamState> states = states(3);
		states.get(0).recordSent(new Load(12, 0, 0), 0);
		states.get(1).recordSent(new Load(3, 0, 0), 0);
		states.get(2).recordSent(new Load(12, 0, 0), 0);
		Work small = Work.of(List.of(new PromptPart(5, 40_000)), 40_000, 300);
		Choice choice = this.engines.choose(small, states, TERMS, 0).orElseThrow();
		assertTrue(AdmissionControl.stallsStreams(choice, TERMS),
				"40,000 tokens take " + choice.prefillMillis() + " ms");
		assertEquals(choice.upstream(), states.get(1));
		states.forEach((state) -> state.recordSent(new Load(20, 0, 0), 0));
		Choice busy = this.engines.choose(small, states, TERMS, 0).orElseThrow();
		assertEquals(busy.upstream(), states.get(1), "it still goes where the fewest run");
		assertTrue(AdmissionControl.admits(busy, TERMS), "its size is no reason to refuse it");
	}

	@Test
	public void testAmongManyEnginesRequestsAreSpread() {
		List<UpstreamState> states = states(80);
		Work alone = Work.of(List.of(new PromptPart(7, 100)), 100, 100);
		Set<String> chosen = new HashSet<>();
		for (int index = 0; index < 60; index++) {
			UpstreamState state = this.engines.choose(alone, states, TERMS, 0).orElseThrow().upstream();
			state.recordSent(new Load(1, 100, 200), 0);
			chosen.add(state.entry().id());
		}
		assertTrue(chosen.size() > 30, chosen.size() + " of 80 engines got 60 requests");
		assertEquals(choose(states, TERMS).upstream(), choose(states, TERMS).upstream(), "the home is always seen");
	}

	private Choice choose(List<UpstreamState> states, PlacementTerms terms) {
		return this.engines.choose(CHAT, states, terms, 0).orElseThrow();
	}

	private static List<UpstreamState> states(int count) {
		List<UpstreamState> states = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			states
				.add(new UpstreamState(new UpstreamEntry("engine-" + index, "s", "10.0.0.1", 80, "dc", 64, false, 0, 1),
						() -> 500_000, () -> 1, 0));
		}
		return states;
	}

}
