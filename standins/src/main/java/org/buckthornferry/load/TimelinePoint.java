package org.buckthornferry.load;

import java.util.Map;

/**
 * The requests whose intended start lies in one second of the scenario.
 *
 * @param goodputByTier the good part of the offered requests of each tier that had any
 * @param p50Millis the median latency of complete requests; 0 when there is none
 */
public record TimelinePoint(
    int second,
    long offered,
    Map<String, Double> goodputByTier,
    double p50Millis,
    double p95Millis,
    double p99Millis) {}
