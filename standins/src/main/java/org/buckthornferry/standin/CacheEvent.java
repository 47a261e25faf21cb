package org.buckthornferry.standin;

/**
 * A change of a prefix cache.
 *
 * @param sequence grows by one with every event, also with those that are never published
 * @param kind {@code stored} or {@code evicted}
 * @param prefixHash the hash of the body prefix, see {@link PrefixHashes}
 * @param tokens the prompt tokens of the whole prefix
 */
record CacheEvent(long sequence, String kind, long prefixHash, long tokens) {}
