package org.ebonyford.emulator.demo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A table of text with columns as wide as their widest cell.
 */
public final class Table {

	/**
	 * The text between two columns.
	 */
	private static final String GAP = "  ";

	/**
	 * The rows, the heading first.
	 */
	private final List<List<String>> rows = new ArrayList<>();

	/**
	 * Creates a table without rows.
	 * @param heading the names of the columns
	 */
	public Table(String... heading) {
		this.rows.add(List.of(heading));
	}

	/**
	 * Adds a row.
	 * @param cells the cells, one for each column
	 * @return this table
	 */
	public Table row(Object... cells) {
		this.rows.add(Arrays.stream(cells).map(String::valueOf).toList());
		return this;
	}

	@Override
	public String toString() {
		int[] widths = new int[this.rows.get(0).size()];
		for (List<String> row : this.rows) {
			for (int column = 0; column < widths.length; column++) {
				widths[column] = Math.max(widths[column], row.get(column).length());
			}
		}
		return this.rows.stream().map((row) -> line(row, widths)).collect(Collectors.joining(System.lineSeparator()));
	}

	private static String line(List<String> row, int[] widths) {
		StringBuilder line = new StringBuilder();
		for (int column = 0; column < widths.length; column++) {
			String cell = row.get(column);
			line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(GAP);
		}
		return line.toString().stripTrailing();
	}

}
