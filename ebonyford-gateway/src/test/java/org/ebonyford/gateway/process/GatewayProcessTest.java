package org.ebonyford.gateway.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class GatewayProcessTest {

	@Test
	public void testFaultySettingsEndTheProcess() throws IOException {
		Path file = Files.createTempFile("gateway", ".ini");
		Files.writeString(file, "[gateway]\nname = x\n");
		assertEquals(GatewayProcess.run(file, null), 1);
		Files.delete(file);
	}

	@Test
	public void testMissingFileEndsTheProcess() {
		assertEquals(GatewayProcess.run(Path.of("no-such-file.ini"), null), 1);
	}

	@Test
	public void testPortInUseEndsTheProcess() throws IOException {
		try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Path file = Files.createTempFile("gateway", ".ini");
			String address = "127.0.0.1:" + taken.getLocalPort();
			Files.writeString(file,
					"[gateway]\nname = x\ndata-centre = dc\n[listen]\ncallers = " + address + "\nreadiness = " + address
							+ "\nmetrics = " + address + "\npeers = " + address + "\n[store]\naddress = " + address
							+ "\n");
			assertEquals(GatewayProcess.run(file, null), 1);
			Files.delete(file);
		}
	}

}
