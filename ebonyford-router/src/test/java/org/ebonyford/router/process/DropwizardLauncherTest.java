package org.ebonyford.router.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import org.testng.annotations.Test;

import org.ebonyford.router.settings.RouterSettingsReader;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests {@link DropwizardLauncher}.
 */
public class DropwizardLauncherTest {

	@Test
	public void testUnusableCertificateIsNamed() throws IOException {
		Path empty = Files.createTempFile("empty", ".pem");
		String text = """
				[router]
				vm = levi-1
				data-centre = levi
				[callers]
				tls-certificate = %1$s
				tls-key = %1$s
				[operators]
				secret = operators-0123456789
				[peers]
				secret = peers-0123456789abcdef
				[platform]
				log = http://127.0.0.1:9000
				list = http://127.0.0.1:9001
				""".formatted(empty);
		var settings = new RouterSettingsReader((name) -> Optional.empty(), Files::isReadable).read("router.ini", text);
		CompletionException failure = expectThrows(CompletionException.class,
				() -> DropwizardLauncher.INSTANCE.launch(settings).join());
		assertTrue(failure.getCause().getMessage().contains(empty.toString()), failure.getCause().getMessage());
	}

}
