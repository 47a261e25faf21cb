package org.buckthornferry.scaling;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/**
 * Prints the table of {@code docs/design/scaling.md} and writes its plot. The argument is the path
 * of the plot; without one only the table is printed.
 */
final class ScalingReport {
  private static final int DAYS = 20;
  private static final int WIDTH = 900;
  private static final int PANEL = 300;

  private static final List<DayOfLoad.Kind> KINDS =
      List.of(
          new DayOfLoad.Kind("wave only", 0, false, false),
          new DayOfLoad.Kind("1 jump", 1, false, false),
          new DayOfLoad.Kind("3 jumps", 3, false, false),
          new DayOfLoad.Kind("3 jumps, shift", 3, true, false),
          new DayOfLoad.Kind("3 jumps, shift, domain lost", 3, true, true));

  private ScalingReport() {}

  private static Map<String, Function<DayOfLoad, ScalingPlay.Scaler>> scalers() {
    Map<String, Function<DayOfLoad, ScalingPlay.Scaler>> scalers = new LinkedHashMap<>();
    scalers.put("fixed 21", day -> ScalingPlay.fixed(21));
    scalers.put("fixed 42", day -> ScalingPlay.fixed(42));
    scalers.put("threshold", day -> ScalingPlay.threshold());
    scalers.put("decision", day -> ScalingPlay.decision(ScalingPolicy.DEFAULT));
    scalers.put("oracle", ScalingPlay::oracle);
    return scalers;
  }

  public static void main(String[] args) throws IOException {
    System.out.println("| day | rule | value | price | net | served | turns | calls |");
    System.out.println("|---|---|---|---|---|---|---|---|");
    for (DayOfLoad.Kind kind : KINDS) {
      scalers().forEach((name, scaler) -> printRow(kind, name, scaler));
    }
    if (args.length > 0) {
      Files.writeString(Path.of(args[0]), plot());
    }
  }

  private static void printRow(
      DayOfLoad.Kind kind, String name, Function<DayOfLoad, ScalingPlay.Scaler> scaler) {
    double[] sums = new double[5];
    for (int seed = 1; seed <= DAYS; seed++) {
      DayOfLoad day = DayOfLoad.of(kind, seed);
      ScalingPlay.Outcome outcome = new ScalingPlay(day, scaler.apply(day), seed).run();
      sums[0] += outcome.value / DAYS;
      sums[1] += outcome.price / DAYS;
      sums[2] += outcome.served / (double) DAYS;
      sums[3] = Math.max(sums[3], outcome.directionChanges);
      sums[4] = Math.max(sums[4], outcome.calls);
    }
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |%n",
        kind.name(),
        name,
        sums[0],
        sums[1],
        sums[0] - sums[1],
        sums[2],
        sums[3],
        sums[4]);
  }

  private static String plot() {
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'"
                + " font-family='sans-serif' font-size='12'>%n"
                + "<rect width='100%%' height='100%%' fill='white'/>%n",
            WIDTH, 2 * PANEL));
    for (int panel = 0; panel < 2; panel++) {
      DayOfLoad.Kind kind = KINDS.get(KINDS.size() - 2 + panel);
      DayOfLoad day = DayOfLoad.of(kind, panel + 1);
      int top = panel * PANEL;
      text(svg, 60, top + 18, "black", kind.name() + ", seed " + (panel + 1));
      for (int endpoints = 40; endpoints <= 160; endpoints += 40) {
        text(svg, 20, y(top, endpoints) + 4, "gray", String.valueOf(endpoints));
        line(svg, List.of(endpoints * 1.0, endpoints * 1.0), 33, top, "#dddddd", 1);
      }
      List<Double> load = new ArrayList<>();
      for (int second = 0; second < DayOfLoad.SECONDS; second++) {
        load.add(day.demandSlots(second) / ScalingPlay.SLOTS);
      }
      line(svg, load, 1, top, "black", 1);
      text(svg, 300, top + 18, "black", "load / 4 slots");
      String[] names = {"threshold", "decision", "oracle"};
      String[] colors = {"#cc7700", "#0055cc", "#228833"};
      for (int i = 0; i < names.length; i++) {
        ScalingPlay.Scaler scaler = scalers().get(names[i]).apply(day);
        ScalingPlay.Outcome outcome = new ScalingPlay(day, scaler, panel + 1).run();
        line(
            svg,
            outcome.orderedBySecond.stream().map(n -> (double) n).toList(),
            1,
            top,
            colors[i],
            2);
        text(svg, 420 + 110 * i, top + 18, colors[i], "ordered: " + names[i]);
      }
      for (int second = 0; second <= 30; second += 5) {
        text(svg, x(second), top + PANEL - 6, "gray", second + " s");
      }
    }
    return svg.append("</svg>\n").toString();
  }

  private static int x(double seconds) {
    return (int) (60 + seconds * (WIDTH - 80) / DayOfLoad.SECONDS);
  }

  private static int y(int top, double endpoints) {
    return (int) (top + PANEL - 25 - endpoints * (PANEL - 60) / 160);
  }

  private static void text(StringBuilder svg, int x, int y, String color, String text) {
    svg.append(String.format("<text x='%d' y='%d' fill='%s'>%s</text>%n", x, y, color, text));
  }

  private static void line(
      StringBuilder svg, List<Double> values, int step, int top, String color, int width) {
    svg.append(
        "<polyline fill='none' stroke='" + color + "' stroke-width='" + width + "' points='");
    for (int i = 0; i < values.size(); i++) {
      svg.append(x(i * (double) step)).append(',').append(y(top, values.get(i))).append(' ');
    }
    svg.append("'/>\n");
  }
}
