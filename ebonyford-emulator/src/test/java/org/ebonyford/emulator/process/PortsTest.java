package org.ebonyford.emulator.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class PortsTest {

	/**
	 * The number of ports in a range.
	 */
	private static final int RANGE = 2_000;

	/**
	 * Prints a port that this JVM chose.
	 * @param arguments not used
	 */
	public static void main(String[] arguments) {
		System.out.println(Ports.choose());
	}

	@Test
	public void testNoPortIsChosenTwice() {
		Set<Integer> chosen = new HashSet<>();
		for (int index = 0; index < 100; index++) {
			int port = Ports.choose();
			assertTrue(chosen.add(port) && port < 32_768, "port " + port);
		}
	}

	@Test
	public void testAnotherJvmChoosesFromAnotherRange() throws IOException {
		int own = Ports.choose();
		Process other = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
				PortsTest.class.getName())
			.redirectError(ProcessBuilder.Redirect.DISCARD)
			.start();
		String text = new String(other.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).strip();
		assertNotEquals(Integer.parseInt(text) / RANGE, own / RANGE, "this JVM chose " + own + ", the other " + text);
	}

}
