package org.ebonyford.router.explain;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The lines on one request from the logs of several routers, together with what the
 * routers that served it came to believe shortly before and meanwhile.
 *
 * @param lines the lines in the order of time, as text
 * @param damaged the number of lines that could not be read
 */
public record RequestStory(List<String> lines, int damaged) {

	/**
	 * How long in milliseconds before the request a change of belief is told: as long as
	 * a change of the configuration may take to be in force.
	 */
	private static final long BEFORE_MILLIS = 5_000;

	/**
	 * The greatest difference in milliseconds between the clocks of two routers that is
	 * allowed for.
	 */
	private static final long CLOCKS_MILLIS = 500;

	/**
	 * Reads log lines.
	 */
	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Creates a story.
	 */
	public RequestStory {
		lines = List.copyOf(lines);
	}

	/**
	 * Finds the lines on a request.
	 * @param request the identifier of the request
	 * @param logs the texts of log files
	 * @return the story; without lines if no log tells of the request
	 */
	public static RequestStory of(String request, List<String> logs) {
		List<JsonNode> read = new ArrayList<>();
		int damaged = 0;
		for (String log : logs) {
			Iterator<String> rows = log.lines().iterator();
			while (rows.hasNext()) {
				String row = rows.next();
				damaged += (row.isBlank() || add(row, read)) ? 0 : 1;
			}
		}
		List<JsonNode> own = read.stream().filter((line) -> concerns(line, request)).toList();
		if (own.isEmpty()) {
			return new RequestStory(List.of(), damaged);
		}
		long first = own.stream().mapToLong(RequestStory::at).min().orElseThrow() - BEFORE_MILLIS - CLOCKS_MILLIS;
		long last = own.stream().mapToLong(RequestStory::at).max().orElseThrow() + CLOCKS_MILLIS;
		Set<String> routers = new HashSet<>();
		own.forEach((line) -> routers.add(line.path("router").asText()));
		List<String> told = read.stream()
			.filter((line) -> concerns(line, request) || (!line.has("request")
					&& routers.contains(line.path("router").asText()) && at(line) >= first && at(line) <= last))
			.sorted(Comparator.comparingLong(RequestStory::at))
			.map(RequestStory::tell)
			.toList();
		return new RequestStory(told, damaged);
	}

	private static boolean add(String row, List<JsonNode> read) {
		int start = row.indexOf('{');
		if (start < 0) {
			return false;
		}
		try {
			JsonNode line = MAPPER.readTree(row.substring(start));
			return line.has("at") && line.has("event") && read.add(line);
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static boolean concerns(JsonNode line, String request) {
		return line.path("request").asText().equals(request);
	}

	private static long at(JsonNode line) {
		return line.path("at").asLong();
	}

	private static String tell(JsonNode line) {
		StringBuilder text = new StringBuilder(line.path("at").asText()).append(' ')
			.append(line.path("router").asText())
			.append(' ')
			.append(line.path("event").asText());
		Iterator<Map.Entry<String, JsonNode>> fields = line.fields();
		while (fields.hasNext()) {
			Map.Entry<String, JsonNode> field = fields.next();
			if (!Set.of("at", "router", "code", "event", "request").contains(field.getKey())) {
				text.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
			}
		}
		return text.toString();
	}

}
