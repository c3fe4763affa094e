import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The record of a case: what was sent, answered and run, with the time since its start.
 */
final class CaseRecord {

	private final long start = System.nanoTime();

	private final List<String> lines = new ArrayList<>();

	/**
	 * Adds a line.
	 * @param line what happened
	 */
	synchronized void add(String line) {
		this.lines.add(String.format(Locale.ROOT, "%9.3f s  %s", seconds(System.nanoTime()), line));
	}

	/**
	 * Adds a line and prints it.
	 * @param line what happened
	 */
	void say(String line) {
		add(line);
		System.out.println(line);
	}

	/**
	 * Returns the time of an instant.
	 * @param nanos the instant in nanoseconds
	 * @return the seconds since the start
	 */
	double seconds(long nanos) {
		return (nanos - this.start) / 1e9;
	}

	/**
	 * Writes the record.
	 * @param file the file
	 * @throws IOException if it cannot be written
	 */
	synchronized void save(Path file) throws IOException {
		Files.write(file, this.lines);
	}

}
