package org.buckthornferry.concurrency;

/**
 * What an instance keeps of an estimate for a later coordinator.
 *
 * @param endpointId the process key of the endpoint
 * @param version the version of the change; see {@link CapacityModel#changedSince}
 * @param limit the number of requests at a time that the endpoint serves well
 * @param millisPerToken the time to the first event per prompt token
 * @param millisPerEvent the time between two events; 0 if unknown
 * @param ageMillis the time since the last observation; whoever keeps the estimate adds the time
 *     for which it was kept
 * @param observations the number of observations
 */
public record ExportedEstimate(
    String endpointId,
    long version,
    int limit,
    double millisPerToken,
    double millisPerEvent,
    long ageMillis,
    long observations) {}
