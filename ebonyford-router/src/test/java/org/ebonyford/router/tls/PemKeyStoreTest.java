package org.ebonyford.router.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Collections;

import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link PemKeyStore}.
 */
public class PemKeyStoreTest {

	private TestAuthority authority;

	private Path empty;

	@BeforeClass
	public void create() throws IOException {
		this.authority = new TestAuthority("authority");
		this.empty = Files.createTempFile("empty", ".pem");
	}

	@Test
	public void testIdentityHoldsCertificateAndKey() throws Exception {
		TestAuthority.Issued issued = this.authority.issue("127.0.0.1");
		KeyStore store = PemKeyStore.ofIdentity(issued.certificate(), issued.key());
		assertTrue(store.isKeyEntry("router"));
		assertEquals(store.getKey("router", PemKeyStore.PASSWORD.toCharArray()).getAlgorithm(), "EC");
	}

	@Test
	public void testAuthoritiesAreTrusted() throws Exception {
		KeyStore store = PemKeyStore.ofAuthorities(this.authority.certificate());
		String alias = Collections.list(store.aliases()).get(0);
		assertTrue(store.isCertificateEntry(alias));
	}

	@Test
	public void testFileWithoutCertificateIsRefused() {
		assertThrows(GeneralSecurityException.class, () -> PemKeyStore.ofAuthorities(this.empty));
	}

	@Test
	public void testFileWithoutKeyIsRefused() {
		assertThrows(GeneralSecurityException.class,
				() -> PemKeyStore.ofIdentity(this.authority.certificate(), this.empty));
	}

}
