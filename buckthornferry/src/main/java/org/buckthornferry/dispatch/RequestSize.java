package org.buckthornferry.dispatch;

/**
 * The size of a request as stated by its caller.
 *
 * @param promptTokens the tokens to read before the first event
 * @param memoryTokens the maximum number of tokens that the request occupies at an endpoint
 * @param expectedOutputTokens the estimated length of the answer, often wrong by half; 0 when
 *     unknown
 */
public record RequestSize(long promptTokens, long memoryTokens, long expectedOutputTokens) {}
