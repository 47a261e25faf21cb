package org.buckthornferry.concurrency;

/**
 * The times of one answer of an endpoint.
 *
 * @param instanceId the instance that measured them
 * @param concurrency the requests of all instances at the endpoint when the request was sent, this
 *     one included
 * @param uncachedPromptTokens the prompt tokens that the endpoint is expected to have read
 * @param firstEventMillis the time from sending to the first event, or to a plain answer
 * @param events the number of events; 0 for a plain answer
 * @param streamMillis the time from the first event to the last
 * @param longestGapMillis the longest pause between two events
 * @param firstEventGoalMillis the time within which the first event is good; counted from sending
 * @param gapGoalMillis the longest good pause between events; 0 without events
 */
public record Observation(
    String instanceId,
    int concurrency,
    double uncachedPromptTokens,
    double firstEventMillis,
    int events,
    double streamMillis,
    double longestGapMillis,
    double firstEventGoalMillis,
    double gapGoalMillis) {}
