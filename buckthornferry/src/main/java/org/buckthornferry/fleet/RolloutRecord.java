package org.buckthornferry.fleet;

import org.buckthornferry.rollout.RolloutPhase;

/**
 * State of a service's rollout, as read from the store.
 *
 * @param revision store revision of the item; a record older than an order belongs to another
 *     rollout
 */
public record RolloutRecord(
    String serviceName, String targetVersion, RolloutPhase phase, long revision) {}
