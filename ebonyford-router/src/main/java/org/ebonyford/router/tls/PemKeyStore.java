package org.ebonyford.router.tls;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;

/**
 * Makes key stores in memory from files in PEM form.
 */
public final class PemKeyStore {

	/**
	 * The password of the key stores, which never leave the memory.
	 */
	public static final String PASSWORD = "memory";

	/**
	 * The lines around a private key in PKCS #8 form.
	 */
	private static final String KEY_BOUNDARY = "-----(BEGIN|END) PRIVATE KEY-----";

	private PemKeyStore() {
	}

	/**
	 * Makes a key store with which a process proves what it is.
	 * @param certificate the file with the certificate chain
	 * @param key the file with the private key in PKCS #8 form
	 * @return the key store
	 * @throws IOException if a file cannot be read
	 * @throws GeneralSecurityException if a file does not hold what it should
	 */
	public static KeyStore ofIdentity(Path certificate, Path key) throws IOException, GeneralSecurityException {
		Certificate[] chain = chain(certificate);
		KeyStore store = empty();
		store.setKeyEntry("router", key(key, chain[0].getPublicKey().getAlgorithm()), PASSWORD.toCharArray(), chain);
		return store;
	}

	/**
	 * Makes a key store of the authorities that others are trusted by.
	 * @param authorities the file with the certificates of the authorities
	 * @return the key store
	 * @throws IOException if the file cannot be read
	 * @throws GeneralSecurityException if the file does not hold certificates
	 */
	public static KeyStore ofAuthorities(Path authorities) throws IOException, GeneralSecurityException {
		KeyStore store = empty();
		Certificate[] chain = chain(authorities);
		for (int number = 0; number < chain.length; number++) {
			store.setCertificateEntry("authority-" + number, chain[number]);
		}
		return store;
	}

	private static KeyStore empty() throws IOException, GeneralSecurityException {
		KeyStore store = KeyStore.getInstance("PKCS12");
		store.load(null, null);
		return store;
	}

	private static Certificate[] chain(Path file) throws IOException, GeneralSecurityException {
		try (InputStream input = Files.newInputStream(file)) {
			Certificate[] chain = CertificateFactory.getInstance("X.509")
				.generateCertificates(input)
				.toArray(new X509Certificate[0]);
			if (chain.length == 0) {
				throw new CertificateException(file + " holds no certificate");
			}
			return chain;
		}
	}

	private static PrivateKey key(Path file, String algorithm) throws IOException, GeneralSecurityException {
		String text = Files.readString(file, StandardCharsets.US_ASCII).replaceAll(KEY_BOUNDARY, "");
		byte[] encoded = Base64.getMimeDecoder().decode(text.strip());
		return KeyFactory.getInstance(algorithm).generatePrivate(new PKCS8EncodedKeySpec(encoded));
	}

}
