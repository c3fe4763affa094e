package org.ebonyford.router.tls;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;

import org.bouncycastle.asn1.ASN1Encodable;
import org.bouncycastle.asn1.ASN1ObjectIdentifier;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * An authority that issues certificates for tests.
 */
public final class TestAuthority {

	private static final String ALGORITHM = "EC";

	private static final String SIGNATURE = "SHA256withECDSA";

	private static final Duration VALIDITY = Duration.ofDays(1);

	private final X500Name name;

	private final KeyPair keys;

	private final Path directory;

	private final Path certificate;

	private int issued;

	/**
	 * Creates an authority.
	 * @param name the name of the authority
	 * @throws IOException if its certificate cannot be written
	 */
	public TestAuthority(String name) throws IOException {
		this.name = new X500Name("CN=" + name);
		this.keys = keys();
		this.directory = Files.createTempDirectory("authority");
		this.certificate = write("authority.pem", "CERTIFICATE",
				encoded(this.name, this.keys, Extension.basicConstraints, new BasicConstraints(true)));
	}

	/**
	 * Returns the file with the authority's own certificate.
	 * @return the file in PEM form
	 */
	public Path certificate() {
		return this.certificate;
	}

	/**
	 * Issues a certificate.
	 * @param address the IP number that it is for
	 * @return the files with the certificate and its key
	 */
	public Issued issue(String address) {
		this.issued++;
		KeyPair subject = keys();
		GeneralNames names = new GeneralNames(new GeneralName(GeneralName.iPAddress, address));
		byte[] encoded = encoded(new X500Name("CN=" + address), subject, Extension.subjectAlternativeName, names);
		return new Issued(write("certificate-" + this.issued + ".pem", "CERTIFICATE", encoded),
				write("key-" + this.issued + ".pem", "PRIVATE KEY", subject.getPrivate().getEncoded()));
	}

	private byte[] encoded(X500Name subject, KeyPair pair, ASN1ObjectIdentifier extension, ASN1Encodable value) {
		Instant now = Instant.now();
		try {
			X509CertificateHolder holder = new JcaX509v3CertificateBuilder(this.name, BigInteger.valueOf(this.issued),
					Date.from(now.minus(VALIDITY)), Date.from(now.plus(VALIDITY)), subject, pair.getPublic())
				.addExtension(extension, true, value)
				.build(new JcaContentSignerBuilder(SIGNATURE).build(this.keys.getPrivate()));
			return holder.getEncoded();
		}
		catch (IOException | OperatorCreationException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private Path write(String file, String kind, byte[] content) {
		String text = Base64.getMimeEncoder().encodeToString(content);
		try {
			return Files.writeString(this.directory.resolve(file),
					"-----BEGIN " + kind + "-----\n" + text + "\n-----END " + kind + "-----\n");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static KeyPair keys() {
		try {
			return KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * A certificate and its key.
	 *
	 * @param certificate the file with the certificate in PEM form
	 * @param key the file with the key in PEM form
	 */
	public record Issued(Path certificate, Path key) {

	}

}
