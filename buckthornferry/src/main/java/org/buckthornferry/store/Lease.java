package org.buckthornferry.store;

/**
 * A lease of the store.
 *
 * @param id identifies the lease within its era; a restored store grants the same ids again, to
 *     others
 * @param era the era in which the lease is known to exist
 */
public record Lease(long id, long era) {}
