package org.buckthornferry.load;

/**
 * What a run produced.
 *
 * @param mode {@code entries}, or the policy of a direct run
 * @param betweenTokensMicros the times between two tokens of a stream
 */
public record LoadResult(
    Scenario scenario,
    String mode,
    History history,
    Percentiles betweenTokensMicros,
    PrefillCount prefill) {}
