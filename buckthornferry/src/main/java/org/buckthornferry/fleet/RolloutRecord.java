package org.buckthornferry.fleet;

import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.store.StorePosition;

/**
 * State of a service's rollout, as read from the store.
 *
 * @param since when the state was written; one from before an order belongs to another rollout
 * @param revision store revision of the item; 0 if a restored store has lost it
 * @param isStored whether the store has this state now
 */
public record RolloutRecord(
    String serviceName,
    String targetVersion,
    RolloutPhase phase,
    StorePosition since,
    long revision,
    boolean isStored) {}
