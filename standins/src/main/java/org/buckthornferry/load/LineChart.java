package org.buckthornferry.load;

import java.util.List;
import java.util.Locale;

/** Draws a line chart as SVG. */
final class LineChart {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 240;
  private static final int LEFT = 60;
  private static final int RIGHT = 140;
  private static final int TOP = 20;
  private static final int BOTTOM = 36;
  private static final int GRID_LINES = 4;
  private static final List<String> COLOURS =
      List.of("#1b6ca8", "#c8553d", "#588157", "#7b5ea7", "#a07b16");

  private final String title;
  private final String xlabel;
  private final List<Series> series;
  private final double maxX;
  private final double maxY;

  /** A named line; x grows along the list. */
  record Series(String name, List<Point> points) {}

  /** A point in the units of the axes. */
  record Point(double x, double y) {}

  LineChart(String title, String xlabel, List<Series> series) {
    this.title = title;
    this.xlabel = xlabel;
    this.series = series;
    this.maxX = largest(series, true);
    this.maxY = largest(series, false);
  }

  String toSvg() {
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            Locale.ROOT,
            "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\" "
                + "font-family=\"sans-serif\" font-size=\"11\"><title>%s</title>",
            WIDTH,
            HEIGHT,
            WIDTH,
            HEIGHT,
            title));
    grid(svg);
    for (int i = 0; i < series.size(); i++) {
      line(svg, series.get(i), COLOURS.get(i % COLOURS.size()), i);
    }
    return svg.append("</svg>").toString();
  }

  private void grid(StringBuilder svg) {
    for (int i = 0; i <= GRID_LINES; i++) {
      double value = maxY * i / GRID_LINES;
      svg.append(
          String.format(
              Locale.ROOT,
              "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>"
                  + "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>",
              LEFT,
              WIDTH - RIGHT,
              yof(value),
              yof(value),
              LEFT - 6,
              yof(value) + 4,
              number(value)));
      double xvalue = maxX * i / GRID_LINES;
      svg.append(
          String.format(
              Locale.ROOT,
              "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>",
              xof(xvalue),
              HEIGHT - BOTTOM + 14,
              number(xvalue)));
    }
    svg.append(
        String.format(
            Locale.ROOT,
            "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>",
            (LEFT + WIDTH - RIGHT) / 2,
            HEIGHT - 6,
            xlabel));
  }

  private void line(StringBuilder svg, Series one, String colour, int index) {
    StringBuilder points = new StringBuilder();
    for (Point point : one.points) {
      points.append(String.format(Locale.ROOT, "%.1f,%.1f ", xof(point.x), yof(point.y)));
    }
    svg.append(
        String.format(
            Locale.ROOT,
            "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"/>"
                + "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>",
            points.toString().trim(),
            colour,
            WIDTH - RIGHT + 10,
            TOP + 12 + 16 * index,
            colour,
            one.name));
  }

  private double xof(double x) {
    return LEFT + x / maxX * (WIDTH - LEFT - RIGHT);
  }

  private double yof(double y) {
    return HEIGHT - BOTTOM - y / maxY * (HEIGHT - TOP - BOTTOM);
  }

  private static double largest(List<Series> series, boolean horizontal) {
    double largest = 0;
    for (Series one : series) {
      for (Point point : one.points) {
        largest = Math.max(largest, horizontal ? point.x : point.y);
      }
    }
    return largest > 0 ? largest : 1;
  }

  private static String number(double value) {
    return value >= 10 || value == Math.rint(value)
        ? String.format(Locale.ROOT, "%.0f", value)
        : String.format(Locale.ROOT, "%.2f", value);
  }
}
