package org.ebonyford.router.control;

import java.nio.charset.StandardCharsets;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.control.ControlRecord;
import org.ebonyford.control.ControlState;
import org.ebonyford.identity.DataCentreId;
import org.ebonyford.identity.UpstreamId;
import org.ebonyford.identity.VmId;
import org.ebonyford.router.log.LogSlice;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ControlRecordCodec}.
 */
public class ControlRecordCodecTest {

	private final ControlRecordCodec codec = new ControlRecordCodec();

	@Test
	public void testRecordGetsOffsetAndTimeFromTheLog() {
		ControlRecord record = record(-1, 0);
		LogSlice.LogRecord kept = new LogSlice.LogRecord(7, 1234, this.codec.encode(record));
		assertEquals(this.codec.decode(kept).orElseThrow(), record(7, 1234));
	}

	@DataProvider
	public Object[][] unreadable() {
		return new Object[][] { { "" }, { "null" }, { "[]" }, { "{}" }, { "{\"id\":\"a\"" },
				{ body().replace("\"plans\":\"p\"", "\"plans\":null") }, { body().replace("\"v\"", "\" \"") },
				{ body().replace("\"basedOn\":3", "\"basedOn\":\"x\"") }, { body().replace("[\"u\"]", "null") } };
	}

	@Test(dataProvider = "unreadable")
	public void testBodyThatCannotBeReadIsLeftOut(String body) {
		assertTrue(this.codec.decode(kept(body)).isEmpty());
	}

	@Test
	public void testUnknownFieldsAreIgnored() {
		assertTrue(this.codec.decode(kept(body().replace("{\"id\"", "{\"later\":1,\"id\""))).isPresent());
	}

	private static LogSlice.LogRecord kept(String body) {
		return new LogSlice.LogRecord(7, 1234, body.getBytes(StandardCharsets.UTF_8));
	}

	private String body() {
		return new String(this.codec.encode(record(-1, 0)), StandardCharsets.UTF_8);
	}

	private static ControlRecord record(long offset, long time) {
		ControlState state = new ControlState(offset, "p", "u", Set.of(new DataCentreId("d")), Set.of(new VmId("v")),
				Set.of(new UpstreamId("u")));
		return new ControlRecord(offset, time, "id", "ann", 3, state);
	}

}
