package org.ebonyford.router.explain;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tells stories from lines that gateways wrote on a heavy day with a crash.
 */
public class RequestStoryTest {

	private static final String REFUSED = "081cc44daff68977";

	private static final String CUT = "846f19954de59102";

	private static final String RETRIED = "ab80b59c7a4ecdce";

	private String log;

	@BeforeMethod
	public void read() throws IOException {
		try (InputStream stream = getClass().getResourceAsStream("/explain/gateways.log")) {
			this.log = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	@Test
	public void testRefusalTellsTheShare() {
		RequestStory story = RequestStory.of(REFUSED, List.of(this.log));
		assertTrue(story.lines().stream().anyMatch((line) -> line.contains("PLACED") && line.contains("used_share=")),
				story.toString());
		assertTrue(story.lines().stream().anyMatch((line) -> line.contains("REFUSED status=429")), story.toString());
	}

	@Test
	public void testStreamThatBrokeOffTellsTheUpstream() {
		RequestStory story = RequestStory.of(CUT, List.of(this.log));
		assertTrue(story.lines().stream().anyMatch((line) -> line.contains("BROKEN upstream=i-")), story.toString());
		assertTrue(story.lines().stream().anyMatch((line) -> line.contains("FINISHED outcome=cut")), story.toString());
	}

	@Test
	public void testRepeatedRequestTellsBothUpstreamsInOrder() {
		List<String> lines = RequestStory.of(RETRIED, List.of(this.log))
			.lines()
			.stream()
			.filter((line) -> line.contains("PLACED") || line.contains("RETRIED") || line.contains("FINISHED"))
			.toList();
		assertTrue(lines.size() >= 4, lines.toString());
		assertTrue(lines.get(0).contains("PLACED") && lines.get(lines.size() - 1).contains("FINISHED"),
				lines.toString());
	}

	@Test
	public void testDamagedLinesAreCounted() {
		assertEquals(RequestStory.of(REFUSED, List.of(this.log)).damaged(), 1);
	}

	@Test
	public void testUnknownRequestHasNoStory() {
		assertTrue(RequestStory.of("nobody", List.of(this.log)).lines().isEmpty());
	}

}
