package org.buckthornferry.concurrency;

/**
 * What is known about the speed of one endpoint.
 *
 * @param limit the number of requests at a time that the endpoint serves well
 * @param unloadedMillisPerToken the time to the first event per prompt token without other load
 * @param unloadedMillisPerEvent the time between two events without other load
 * @param millisPerToken the present time to the first event per prompt token
 * @param millisPerEvent the present time between two events
 * @param ageMillis the time since the last observation
 * @param observations the number of observations
 */
public record CapacityEstimate(
    int limit,
    double unloadedMillisPerToken,
    double unloadedMillisPerEvent,
    double millisPerToken,
    double millisPerEvent,
    long ageMillis,
    long observations) {}
