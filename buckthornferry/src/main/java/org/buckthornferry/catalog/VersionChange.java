package org.buckthornferry.catalog;

import org.buckthornferry.store.StorePosition;

/**
 * An operator's request to roll a service out to another version.
 *
 * @param targetVersion the version whose endpoints serve alone after the rollout
 * @param durationMillis the time from the request until the rollout is complete or rolled back
 * @param since when the request was made; a rollout state from before belongs to another request
 * @param revision the revision of the store item; 0 if a restored store has lost it
 */
public record VersionChange(
    String serviceName,
    String targetVersion,
    long durationMillis,
    StorePosition since,
    long revision) {}
