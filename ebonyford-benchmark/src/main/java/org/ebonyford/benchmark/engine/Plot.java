package org.ebonyford.benchmark.engine;

import java.util.Locale;
import java.util.Map;

/**
 * Draws curves over loads as SVG.
 */
final class Plot {

	/**
	 * The width and height of the drawing area, and the margin around it, in pixels.
	 */
	private static final int[] SIZE = { 480, 280, 60 };

	/**
	 * The colours of the curves.
	 */
	private static final String[] COLOURS = { "#1b6ca8", "#c0392b", "#7f8c8d", "#27ae60", "#8e44ad" };

	private Plot() {
	}

	/**
	 * Draws curves whose values lie between 0 and 1.
	 * @param title the title
	 * @param loads the loads in ascending order
	 * @param curves the values at the loads by name
	 * @return the document
	 */
	static String svg(String title, int[] loads, Map<String, double[]> curves) {
		StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
				"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
						+ " font-size=\"12\">%n<text x=\"%d\" y=\"30\">%s</text>%n",
				SIZE[0] + 3 * SIZE[2], SIZE[1] + 2 * SIZE[2], SIZE[2], title));
		for (int load : loads) {
			text.append(String.format(Locale.ROOT, "<text x=\"%.0f\" y=\"%d\">%d</text>%n", x(load, loads),
					SIZE[1] + SIZE[2] + 20, load));
		}
		for (int step = 0; step <= 4; step++) {
			text.append(String.format(Locale.ROOT,
					"<text x=\"20\" y=\"%.0f\">%.2f</text><line x1=\"%d\" x2=\"%d\" y1=\"%.0f\" y2=\"%.0f\""
							+ " stroke=\"#ddd\"/>%n",
					y(step / 4.0), step / 4.0, SIZE[2], SIZE[2] + SIZE[0], y(step / 4.0), y(step / 4.0)));
		}
		int number = 0;
		for (Map.Entry<String, double[]> curve : curves.entrySet()) {
			StringBuilder points = new StringBuilder();
			for (int index = 0; index < loads.length; index++) {
				points.append(
						String.format(Locale.ROOT, "%.1f,%.1f ", x(loads[index], loads), y(curve.getValue()[index])));
			}
			String colour = COLOURS[number % COLOURS.length];
			text.append(String.format(Locale.ROOT,
					"<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>"
							+ "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
					colour, points.toString().strip(), SIZE[0] + SIZE[2] + 10, SIZE[2] + 20 * number, colour,
					curve.getKey()));
			number++;
		}
		return text.append("</svg>\n").toString();
	}

	private static double x(int load, int[] loads) {
		return SIZE[2] + (double) SIZE[0] * (load - loads[0]) / (loads[loads.length - 1] - loads[0]);
	}

	private static double y(double value) {
		return SIZE[2] + SIZE[1] * (1 - value);
	}

}
