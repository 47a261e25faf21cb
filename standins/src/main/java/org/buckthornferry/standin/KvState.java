package org.buckthornferry.standin;

/**
 * The exported KV cache of a stream.
 *
 * @param run what the request asked for
 * @param generatedTokens the tokens that were generated before the export
 */
record KvState(RunSpec run, long generatedTokens) {}
