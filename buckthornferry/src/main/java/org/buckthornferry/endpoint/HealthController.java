package org.buckthornferry.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.peer.EndpointStateNotice;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;
import org.buckthornferry.util.Checks;
import org.jboss.logging.Logger;

/**
 * Maintains the state of every endpoint. The shard owner of an endpoint derives its state from load
 * reports and from the observations of all instances, and broadcasts it. The other instances act on
 * their own observations at once and then follow the owner. The owner of a service's shard decides
 * ejections, so that the share of ejected endpoints is bounded over all instances.
 */
public final class HealthController implements Controller {
  private static final Logger LOG = Logger.getLogger(HealthController.class);
  private static final long EJECTION_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String selfId;
  private final Blackboard blackboard;
  private final Consumer<EndpointStates> statesWriter;
  private final NoticeRetransmitter notices;
  private final StragglerDetector stragglers = new StragglerDetector();
  private final Map<String, TrackedEndpoint> endpoints = new TreeMap<>();
  private final Set<String> changed = new HashSet<>();
  private final EjectionTable ejections = new EjectionTable();
  private final Set<String> timeDependent = new HashSet<>();
  private Map<String, EndpointStatus> published = new HashMap<>();
  private long revision;
  private long configRevision = -1;
  private long sequence;
  private long nextEjectionNanos;

  /** Creates a controller that takes the endpoints from the configuration. */
  public HealthController(String selfId, Blackboard blackboard, PeerSender sender) {
    this.selfId = Checks.notEmpty(selfId, "selfId");
    this.blackboard = Checks.notNull(blackboard, "blackboard");
    this.statesWriter = blackboard.writerOf(EndpointStates.ENTRY);
    this.notices = new NoticeRetransmitter(selfId, blackboard, sender);
  }

  private static final class TrackedEndpoint {
    final String serviceId;
    final EndpointDeclaration declaration;
    final EndpointHealth health;
    final LoadTracker load = new LoadTracker();
    final Map<String, Long> observationSequences = new HashMap<>();
    long noticeFencing = -1;
    long noticeSequence;

    TrackedEndpoint(String serviceId, EndpointDeclaration declaration) {
      this.serviceId = serviceId;
      this.declaration = declaration;
      this.health = new EndpointHealth(declaration);
    }
  }

  /** Handles a load report; only the shard owner of the endpoint reads them. */
  public void onReport(LoadReport report, long nowNanos) {
    TrackedEndpoint tracked = endpoints.get(report.endpointId());
    if (tracked == null) {
      return;
    }
    tracked.load.onReport(report.running(), report.observedNanos());
    tracked.health.onReport(report, nowNanos);
    changed.add(report.endpointId());
  }

  /** Records the start of a request of this instance. */
  public void onStarted(String endpointId, long nowNanos) {
    TrackedEndpoint tracked = endpoints.get(endpointId);
    if (tracked != null) {
      tracked.load.onStarted(nowNanos);
    }
  }

  /** Records the end of a request of this instance, with any outcome. */
  public void onFinished(String endpointId, long nowNanos) {
    TrackedEndpoint tracked = endpoints.get(endpointId);
    if (tracked != null) {
      tracked.load.onFinished(nowNanos);
    }
  }

  /**
   * Records the measured speed of a successful request of this instance.
   *
   * @param decodeNanosPerToken the time per generated token; 0 when none was measured
   */
  public void onSuccess(String endpointId, double decodeNanosPerToken, long nowNanos) {
    TrackedEndpoint tracked = endpoints.get(endpointId);
    if (tracked == null || decodeNanosPerToken <= 0) {
      return;
    }
    stragglers.observe(endpointId, decodeNanosPerToken);
    EndpointState before = tracked.health.status().state();
    tracked.health.onSpeed(decodeNanosPerToken);
    if (before == EndpointState.WARM && tracked.health.status().state() == EndpointState.COLD) {
      reportObservation(endpointId, EndpointState.COLD, nowNanos);
    }
  }

  /** Records a request of this instance that failed while the endpoint's process kept running. */
  public void onFailure(String endpointId, long nowNanos) {
    TrackedEndpoint tracked = endpoints.get(endpointId);
    if (tracked != null) {
      tracked.health.onFailure(nowNanos);
      reportFailed(endpointId, tracked, nowNanos);
    }
  }

  /** Handles the exit of an endpoint's process, detected by a lost connection. */
  public void onCrash(String endpointId, long nowNanos) {
    TrackedEndpoint tracked = endpoints.get(endpointId);
    if (tracked != null) {
      tracked.health.onCrash(nowNanos);
      reportFailed(endpointId, tracked, nowNanos);
    }
  }

  /** Returns the estimated number of requests, of all instances, that run on an endpoint. */
  public int estimatedRunning(String endpointId) {
    TrackedEndpoint tracked = endpoints.get(endpointId);
    return tracked == null ? 0 : tracked.load.running();
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (!(message instanceof EndpointStateNotice notice)) {
      return;
    }
    TrackedEndpoint tracked = endpoints.get(notice.endpointId());
    if (tracked == null) {
      return;
    }
    changed.add(notice.endpointId());
    if (notice.fencingNumber() == 0) {
      onObservation(fromInstanceId, tracked, notice, nowNanos);
    } else if (!isOwned(notice.endpointId()) && isNewer(tracked, notice)) {
      tracked.noticeFencing = notice.fencingNumber();
      tracked.noticeSequence = notice.sequence();
      tracked.health.applyOwnerStatus(
          new EndpointStatus(notice.state(), notice.budgetConcurrent()));
      ejections.onOwnerState(notice.endpointId(), notice.state());
    }
  }

  @Override
  public void onTick(long nowNanos) {
    applyConfiguration();
    for (String endpointId : timeDependent) {
      endpoints.get(endpointId).health.onTick(isOwned(endpointId), nowNanos);
      changed.add(endpointId);
    }
    if (nextEjectionNanos - nowNanos <= 0) {
      nextEjectionNanos = nowNanos + EJECTION_PERIOD_NANOS;
      ejectStragglers(nowNanos);
    }
    publish(nowNanos);
    notices.onTick(nowNanos);
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new TreeMap<>();
    endpoints.forEach(
        (endpointId, tracked) -> {
          EndpointStatus status = tracked.health.status();
          dump.put(
              endpointId,
              Map.of(
                  "state", status.state().name(),
                  "budget", status.budgetConcurrent(),
                  "running", tracked.load.running(),
                  "owned", isOwned(endpointId)));
        });
    return Map.of("endpoints", dump);
  }

  private void applyConfiguration() {
    ConfigSnapshot snapshot = blackboard.read(ConfigSnapshot.ENTRY);
    if (snapshot.revision() == configRevision) {
      return;
    }
    configRevision = snapshot.revision();
    Set<String> declared = new HashSet<>();
    for (ServiceDeclaration service : snapshot.declarations().services()) {
      for (EndpointDeclaration declaration : service.endpoints()) {
        declared.add(declaration.id());
        TrackedEndpoint tracked = endpoints.get(declaration.id());
        if (tracked == null || !tracked.declaration.equals(declaration)) {
          tracked = new TrackedEndpoint(service.id(), declaration);
          endpoints.put(declaration.id(), tracked);
        }
        tracked.health.setDrained(snapshot.declarations().isDrained(declaration.failureDomain()));
        changed.add(declaration.id());
      }
    }
    endpoints.keySet().retainAll(declared);
    timeDependent.retainAll(declared);
  }

  private void onObservation(
      String from, TrackedEndpoint tracked, EndpointStateNotice notice, long nowNanos) {
    // Observations are retransmitted; a late duplicate must not undo a return to service.
    long last = tracked.observationSequences.getOrDefault(from, Long.MIN_VALUE);
    if (notice.sequence() <= last) {
      return;
    }
    tracked.observationSequences.put(from, notice.sequence());
    switch (notice.state()) {
      case FAILED -> tracked.health.onCrash(nowNanos);
      case STRAGGLING -> tracked.health.eject(nowNanos);
      case COLD -> {
        if (tracked.health.status().state() == EndpointState.WARM) {
          tracked.health.restartCold();
        }
      }
      default -> {}
    }
  }

  private static boolean isNewer(TrackedEndpoint tracked, EndpointStateNotice notice) {
    return notice.fencingNumber() != tracked.noticeFencing
        ? notice.fencingNumber() > tracked.noticeFencing
        : notice.sequence() > tracked.noticeSequence;
  }

  private void reportFailed(String endpointId, TrackedEndpoint tracked, long nowNanos) {
    changed.add(endpointId);
    if (tracked.health.status().state() == EndpointState.FAILED) {
      reportObservation(endpointId, EndpointState.FAILED, nowNanos);
    }
  }

  /** Sends an observation of this instance to the owner of the endpoint. */
  private void reportObservation(String endpointId, EndpointState state, long nowNanos) {
    changed.add(endpointId);
    Optional<ShardOwner> owner = ownerOf(endpointId);
    if (owner.isPresent() && !owner.get().instanceId().equals(selfId)) {
      EndpointStateNotice notice = new EndpointStateNotice(endpointId, state, 0, 0, ++sequence);
      notices.send(owner.get().instanceId(), notice, nowNanos);
    }
  }

  private void ejectStragglers(long nowNanos) {
    ejections.onTick(nowNanos);
    Map<String, List<String>> cohorts = new TreeMap<>();
    endpoints.forEach(
        (endpointId, tracked) -> {
          if (isOwned(tracked.serviceId) && tracked.health.status().state().acceptsNewRequests()) {
            String cohort = CostEstimator.cohortOf(tracked.serviceId, tracked.declaration);
            cohorts.computeIfAbsent(cohort, key -> new ArrayList<>()).add(endpointId);
          }
        });
    for (List<String> cohort : cohorts.values()) {
      for (String endpointId : stragglers.stragglers(cohort)) {
        ejectWithinBound(endpointId, nowNanos);
      }
    }
  }

  private void ejectWithinBound(String endpointId, long nowNanos) {
    TrackedEndpoint tracked = endpoints.get(endpointId);
    String serviceId = tracked.serviceId;
    int total = 0;
    for (TrackedEndpoint other : endpoints.values()) {
      total += other.serviceId.equals(serviceId) ? 1 : 0;
    }
    boolean atLimit = ejections.count(serviceId) >= StragglerDetector.maxEjected(total);
    if (atLimit || ejections.contains(endpointId)) {
      return;
    }
    LOG.infof("endpoint.ejected service=%s endpoint=%s", serviceId, endpointId);
    ejections.eject(endpointId, serviceId, nowNanos);
    stragglers.forget(endpointId);
    tracked.health.eject(nowNanos);
    reportObservation(endpointId, EndpointState.STRAGGLING, nowNanos);
  }

  private void publish(long nowNanos) {
    if (changed.isEmpty()) {
      return;
    }
    Map<String, EndpointStatus> next = null;
    for (String endpointId : changed) {
      TrackedEndpoint tracked = endpoints.get(endpointId);
      if (tracked == null) {
        continue;
      }
      EndpointStatus status = tracked.health.status();
      updateTimeDependent(endpointId, tracked);
      if (!status.equals(published.get(endpointId))) {
        LOG.debugf(
            "endpoint.state endpoint=%s state=%s budget=%d",
            endpointId, status.state(), status.budgetConcurrent());
        next = next == null ? new HashMap<>(published) : next;
        next.put(endpointId, status);
        announce(endpointId, status, nowNanos);
      }
    }
    changed.clear();
    if (next == null && published.keySet().equals(endpoints.keySet())) {
      return;
    }
    published = next == null ? new HashMap<>(published) : next;
    published.keySet().retainAll(endpoints.keySet());
    statesWriter.accept(new EndpointStates(++revision, published));
  }

  private void updateTimeDependent(String endpointId, TrackedEndpoint tracked) {
    if (tracked.health.changesWithTime()) {
      timeDependent.add(endpointId);
    } else {
      timeDependent.remove(endpointId);
    }
  }

  private void announce(String endpointId, EndpointStatus status, long nowNanos) {
    Optional<ShardOwner> owner = ownerOf(endpointId);
    if (owner.isPresent() && owner.get().instanceId().equals(selfId)) {
      ejections.onOwnerState(endpointId, status.state());
      long fencingNumber = owner.get().fencingNumber();
      notices.broadcast(
          new EndpointStateNotice(
              endpointId, status.state(), status.budgetConcurrent(), fencingNumber, ++sequence),
          nowNanos);
    }
  }

  private boolean isOwned(String key) {
    return ownerOf(key).map(owner -> owner.instanceId().equals(selfId)).orElse(false);
  }

  private Optional<ShardOwner> ownerOf(String key) {
    return blackboard.read(ShardMap.ENTRY).ownerOf(ShardKind.ENDPOINT, key);
  }
}
