package org.buckthornferry.node;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;

/** Writes metrics in the text exposition format. */
final class MetricsText {
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private MetricsText() {}

  static String write(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Metric> entry : new TreeMap<>(registry.getMetrics()).entrySet()) {
      write(text, exportedName(entry.getKey()), entry.getValue());
    }
    return text.toString();
  }

  private static void write(StringBuilder text, String name, Metric metric) {
    if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
      appendLine(text, name, "", number.doubleValue());
    }
    if (metric instanceof Sampling sampling) {
      Snapshot snapshot = sampling.getSnapshot();
      for (double quantile : QUANTILES) {
        appendLine(text, name, "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile));
      }
    }
    if (metric instanceof Counting counting) {
      appendLine(text, name + "_total", "", (double) counting.getCount());
    }
  }

  private static void appendLine(StringBuilder text, String name, String labels, double value) {
    text.append(name).append(labels).append(' ').append(value).append('\n');
  }

  private static String exportedName(String metricName) {
    return "buckthornferry_" + metricName.replaceAll("[^a-zA-Z0-9_]", "_");
  }
}
