package org.buckthornferry.catalog;

/**
 * An operator's request to roll a service out to another version.
 *
 * @param targetVersion the version whose endpoints serve alone after the rollout
 * @param durationMillis the time from the request until the rollout is complete or rolled back
 * @param revision the revision of the store item; an older rollout state belongs to another request
 */
public record VersionChange(
    String serviceName, String targetVersion, long durationMillis, long revision) {}
