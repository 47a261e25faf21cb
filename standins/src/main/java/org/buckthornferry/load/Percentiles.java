package org.buckthornferry.load;

import org.HdrHistogram.AbstractHistogram;

/** Percentiles of a quantity; all 0 when nothing was counted. */
public record Percentiles(long count, long p50, long p90, long p95, long p99, long p999, long max) {
  static Percentiles of(AbstractHistogram histogram) {
    return new Percentiles(
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(90),
        histogram.getValueAtPercentile(95),
        histogram.getValueAtPercentile(99),
        histogram.getValueAtPercentile(99.9),
        histogram.getMaxValue());
  }
}
