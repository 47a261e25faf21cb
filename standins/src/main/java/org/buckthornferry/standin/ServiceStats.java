package org.buckthornferry.standin;

/**
 * The counters of a plain-service stand-in since its start.
 *
 * @param executed the requests that ran
 * @param refused the requests that were refused without being run
 */
record ServiceStats(long executed, long refused) {}
