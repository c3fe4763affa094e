import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The protocol of a run: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startedAt = System.nanoTime();

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	double seconds() {
		return (System.nanoTime() - this.startedAt) / 1e9;
	}

	synchronized void line(String format, Object... values) {
		this.out.println(String.format(Locale.ROOT, "%8.3f ", seconds())
				+ ((values.length == 0) ? format : String.format(Locale.ROOT, format, values)));
	}

	/** Writes a line to the record and to the standard output. */
	synchronized void result(String format, Object... values) {
		String text = String.format(Locale.ROOT, format, values);
		line("%s", text);
		System.out.println(text);
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
