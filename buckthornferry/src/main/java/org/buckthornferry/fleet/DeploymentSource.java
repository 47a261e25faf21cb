package org.buckthornferry.fleet;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.VersionChange;
import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.store.StoreItem;

/** Maps a deployment's store keys and values to configuration, endpoints and rollouts. */
public interface DeploymentSource {
  /** Returns the prefix of the keys that operators write. */
  String operatorPrefix();

  /** Returns the prefix of the keys under which endpoints register themselves. */
  String endpointPrefix();

  /** Returns the newest readable configuration, or empty if there is none. */
  Optional<Catalog> catalog(Collection<StoreItem> operatorItems);

  /** Returns the failure domains that operators have evacuated, which get no requests. */
  Set<String> evacuatedDomains(Collection<StoreItem> operatorItems);

  /** Returns the operators' orders to roll services out to other versions. */
  Collection<VersionChange> versionOrders(Collection<StoreItem> operatorItems);

  /** Returns the prefix of the keys under which rollout states are stored. */
  String rolloutPrefix();

  /** Returns the key of the rollout state of a service. */
  String rolloutKey(String serviceName);

  /** Returns the stored form of a rollout state. */
  byte[] encodeRollout(String serviceName, String targetVersion, RolloutPhase phase);

  /** Returns a rollout state, or empty if it cannot be read. */
  Optional<RolloutRecord> decodeRollout(StoreItem item);

  /**
   * Returns whether the value of an item is newer than that of another one with the same key, as
   * far as the values tell.
   */
  boolean supersedes(StoreItem item, StoreItem other);

  /** Returns a registered endpoint, or empty if the registration is unreadable or unusable. */
  Optional<Endpoint> endpoint(StoreItem registration, long nowNanos);
}
