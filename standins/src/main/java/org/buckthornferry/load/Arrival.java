package org.buckthornferry.load;

/**
 * One request of a scenario before it is sent.
 *
 * @param index the position in the scenario
 * @param intendedNanos the intended start since the start of the scenario
 * @param maxTokens the tokens to generate
 */
record Arrival(
    int index,
    long intendedNanos,
    Phase phase,
    RequestClass requestClass,
    long promptTokens,
    long maxTokens) {}
