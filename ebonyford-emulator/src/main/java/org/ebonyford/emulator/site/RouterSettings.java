package org.ebonyford.emulator.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The settings of one router's process.
 *
 * @param vm the VM of the router
 * @param dataCentre the data centre of the VM
 * @param callersPort the port for callers
 * @param operatorsPort the port for operators
 * @param peersPort the port for other routers
 * @param log the host and port of the log service
 * @param vms the host and port of the VM list
 */
public record RouterSettings(String vm, String dataCentre, int callersPort, int operatorsPort, int peersPort,
		String log, String vms) {

	/**
	 * The secret of the operators.
	 */
	static final String OPERATORS_SECRET = "the-operators-secret-of-a-test";

	/**
	 * The secret of the routers.
	 */
	private static final String PEERS_SECRET = "the-routers-secret-of-a-test";

	/**
	 * Writes the settings to a file.
	 * @param file the file
	 */
	public void write(Path file) {
		String text = String.join("\n", "[router]", "vm = " + this.vm, "data-centre = " + this.dataCentre, "",
				"[callers]", "host = 127.0.0.1", "port = " + this.callersPort, "", "[operators]", "host = 127.0.0.1",
				"port = " + this.operatorsPort, "secret = " + OPERATORS_SECRET, "", "[peers]", "host = 127.0.0.1",
				"port = " + this.peersPort, "secret = " + PEERS_SECRET, "", "[platform]", "log = " + this.log,
				"vms = " + this.vms, "");
		try {
			Files.writeString(file, text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
