package org.buckthornferry.standin;

/**
 * The counters of an engine stand-in since its start.
 *
 * @param dispatched the new requests that were accepted
 * @param refused the requests that were refused without being run
 * @param prefillTokens the prompt tokens that were prefilled
 * @param wastedPrefillTokens those of requests that ended before their last token
 * @param generatedTokens the tokens that were generated
 * @param crashes the failures of the engine for any cause
 * @param coldOverloads the failures because a cold engine was above its bound
 * @param maxRunning the most requests that were in the batch at once
 */
public record EngineStats(
    long dispatched,
    long refused,
    long finished,
    long cancelled,
    long failed,
    long crashed,
    long prefillTokens,
    long wastedPrefillTokens,
    long generatedTokens,
    long crashes,
    long coldOverloads,
    int maxRunning) {}
