package org.buckthornferry.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.VersionChange;
import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.store.StoreItem;

/** Reads orders, rollout states and registrations from plain text. */
final class TestDeploymentSource implements DeploymentSource {
  private final String serviceName;
  private final long rolloutMillis;

  TestDeploymentSource(String serviceName, long rolloutMillis) {
    this.serviceName = serviceName;
    this.rolloutMillis = rolloutMillis;
  }

  @Override
  public String operatorPrefix() {
    return "order/";
  }

  @Override
  public String endpointPrefix() {
    return "endpoint/";
  }

  @Override
  public Optional<Catalog> catalog(Collection<StoreItem> operatorItems) {
    return Optional.empty();
  }

  @Override
  public Set<String> evacuatedDomains(Collection<StoreItem> operatorItems) {
    return Set.of();
  }

  @Override
  public Collection<VersionChange> versionOrders(Collection<StoreItem> operatorItems) {
    return operatorItems.stream()
        .map(
            item ->
                new VersionChange(
                    serviceName, item.text(), rolloutMillis, item.since(), item.revision()))
        .toList();
  }

  @Override
  public boolean supersedes(StoreItem item, StoreItem other) {
    return false;
  }

  @Override
  public String rolloutPrefix() {
    return "state/";
  }

  @Override
  public String rolloutKey(String service) {
    return "state/" + service;
  }

  @Override
  public byte[] encodeRollout(String service, String targetVersion, RolloutPhase phase) {
    return (targetVersion + " " + phase).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public Optional<RolloutRecord> decodeRollout(StoreItem item) {
    String[] words = item.text().split(" ", 2);
    return Optional.of(
        new RolloutRecord(
            serviceName,
            words[0],
            RolloutPhase.valueOf(words[1]),
            item.since(),
            item.revision(),
            item.isStored()));
  }

  @Override
  public Optional<Endpoint> endpoint(StoreItem registration, long nowNanos) {
    return EndpointTrackerTest.decode(registration, nowNanos);
  }
}
