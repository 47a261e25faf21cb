package org.buckthornferry.load;

import java.util.Map;

/**
 * The measures of a group of requests. Latencies are in microseconds and count from the intended
 * start.
 *
 * @param name the tier or the request class
 * @param good the requests that were finished in full and in time
 * @param late the requests that were finished in full after their deadline
 * @param goodput the good part of the offered requests
 * @param tokenGoodput the good part of the offered tokens
 * @param outcomes the requests by {@link Outcome}
 */
public record GroupReport(
    String name,
    long offered,
    long good,
    long late,
    double goodput,
    double tokenGoodput,
    Map<Outcome, Long> outcomes,
    Percentiles latencyMicros,
    Percentiles firstTokenMicros) {}
