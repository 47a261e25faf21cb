package org.buckthornferry.fleet;

import org.buckthornferry.rollout.RolloutPhase;

/**
 * The state of a move as the store holds it.
 *
 * @param revision of the item; a move that is ordered later has another state
 */
public record RolloutRecord(
    String serviceName, String targetVersion, RolloutPhase phase, long revision) {}
