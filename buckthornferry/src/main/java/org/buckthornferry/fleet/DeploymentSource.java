package org.buckthornferry.fleet;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.VersionChange;
import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.store.StoreItem;

/** Where a deployment keeps its configuration and its endpoints in the store, and in which form. */
public interface DeploymentSource {
  /** Returns the prefix of the keys that operators write. */
  String operatorPrefix();

  /** Returns the prefix of the keys under which endpoints register themselves. */
  String endpointPrefix();

  /** Returns the newest configuration, or empty when there is none that can be read. */
  Optional<Catalog> catalog(Collection<StoreItem> operatorItems);

  /** Returns the failure domains that get no requests until operators take them back. */
  Set<String> evacuatedDomains(Collection<StoreItem> operatorItems);

  /** Returns the orders to move services to other versions. */
  Collection<VersionChange> versionOrders(Collection<StoreItem> operatorItems);

  /** Returns the prefix of the keys under which the states of these moves are written. */
  String rolloutPrefix();

  /** Returns the key of the state of a service's move. */
  String rolloutKey(String serviceName);

  /** Returns the state of a move as it is written. */
  byte[] encodeRollout(String serviceName, String targetVersion, RolloutPhase phase);

  /** Returns the state of a move, or empty when it cannot be read. */
  Optional<RolloutRecord> decodeRollout(StoreItem item);

  /** Returns an endpoint, or empty when the registration cannot be read or names none to use. */
  Optional<Endpoint> endpoint(StoreItem registration, long nowNanos);
}
