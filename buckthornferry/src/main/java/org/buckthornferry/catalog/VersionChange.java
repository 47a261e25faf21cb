package org.buckthornferry.catalog;

/**
 * An operator's order to move a service to another version.
 *
 * @param targetVersion the version of the endpoints that are to serve alone in the end
 * @param durationMillis the time from the order to its end, when the move is done or taken back
 * @param revision of the store's item; a state of the move that is older belongs to another order
 */
public record VersionChange(
    String serviceName, String targetVersion, long durationMillis, long revision) {}
