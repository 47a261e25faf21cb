package org.buckthornferry.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.RolloutReport;
import org.buckthornferry.peer.RolloutReport.RouteCounters;
import org.buckthornferry.peer.RolloutStateMessage;
import org.buckthornferry.peer.VersionFault;
import org.buckthornferry.rollout.StepPolicy.Decision;
import org.buckthornferry.store.KeyValueStore;
import org.jboss.logging.Logger;

/**
 * Controls rollouts of services from one version to another. Every instance counts the requests
 * that end at each version and stops the new version at once when its own counts show a fault. The
 * leader of a rollout collects the counts of all instances, decides the steps and writes the state
 * to the store. A rollback takes effect before it is written.
 */
public final class RolloutController implements Controller {
  private static final Logger LOG = Logger.getLogger(RolloutController.class);
  private static final long REPORT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long URGENT_REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long STATE_BROADCAST_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Blackboard blackboard;
  private final RolloutPeers peers;
  private final RolloutStore store;
  private final RolloutLeadership leadership;
  private final LongSupplier epochMillis;
  private final Consumer<Map<String, RolloutState>> statesWriter;
  private final Map<String, ServiceRollout> rollouts = new TreeMap<>();
  private final Map<String, Long> nextReportNanos = new HashMap<>();
  private final Map<String, Long> nextStateNanos = new HashMap<>();
  private long configRevision = -1;

  /**
   * Creates the controller.
   *
   * @param epochMillis the wall clock, in milliseconds since the epoch
   * @param controlThread runs the completions of store calls
   */
  public RolloutController(
      Blackboard blackboard,
      PeerSender peers,
      KeyValueStore store,
      RolloutLeadership leadership,
      LongSupplier epochMillis,
      Executor controlThread) {
    this.blackboard = blackboard;
    this.peers = new RolloutPeers(blackboard, peers);
    this.store = new RolloutStore(store, controlThread, this::onStoredState);
    this.leadership = leadership;
    this.epochMillis = epochMillis;
    this.statesWriter = blackboard.writerOf(RolloutState.ENTRY);
  }

  /** Returns whether a request may be dispatched to a version of a service now. */
  public boolean mayDispatch(String serviceId, String version) {
    ServiceRollout rollout = rollouts.get(serviceId);
    if (rollout == null) {
      return isActiveVersion(serviceId, version);
    }
    boolean isNew = version.equals(rollout.declaration().toVersion());
    boolean isOld = version.equals(rollout.declaration().fromVersion());
    return switch (rollout.state().phase()) {
      case PENDING, TAKEN_BACK -> isOld;
      case DONE -> isNew;
      case STEPPING -> isNew ? rollout.trafficSplit().allowsNew(localMaxRunning(rollout)) : isOld;
    };
  }

  /** Returns the version that the next request should go to if it has capacity, or empty. */
  public Optional<String> preferredVersion(String serviceId) {
    ServiceRollout rollout = rollouts.get(serviceId);
    if (rollout == null || rollout.state().phase() != RolloutPhase.STEPPING) {
      return Optional.empty();
    }
    boolean prefersNew = rollout.trafficSplit().prefersNew(localMaxRunning(rollout));
    return Optional.of(
        prefersNew ? rollout.declaration().toVersion() : rollout.declaration().fromVersion());
  }

  /** Records the dispatch of a request. */
  public void dispatched(String serviceId, String version) {
    ServiceRollout rollout = rollouts.get(serviceId);
    if (rollout != null) {
      rollout.trafficSplit().dispatched(version.equals(rollout.declaration().toVersion()));
    }
  }

  /** Records the end of a request that is no evidence: it was refused or cancelled. */
  public void ended(String serviceId, String version) {
    ServiceRollout rollout = rollouts.get(serviceId);
    if (rollout != null) {
      rollout.trafficSplit().completed(version.equals(rollout.declaration().toVersion()));
    }
  }

  /** Records the end of a request and adds its result to the evidence. */
  public void completed(CompletedRequest request) {
    ended(request.serviceId(), request.version());
    ServiceRollout rollout = rollouts.get(request.serviceId());
    if (rollout == null || !isVersionOf(rollout, request.version())) {
      return;
    }
    rollout.record(request);
    readOwnCounts(rollout);
    rollout.evidence().fault().ifPresent(reason -> rollBack(rollout, reason));
  }

  @Override
  public void onTick(long nowNanos) {
    applyConfig();
    for (ServiceRollout rollout : rollouts.values()) {
      if (leadership.isLeader(rollout.service().id(), nowNanos)) {
        runAsLeader(rollout, nowNanos);
      } else {
        store.forget(rollout.service().id());
        runAsFollower(rollout, nowNanos);
      }
    }
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (message instanceof VersionFault fault) {
      ServiceRollout rollout = rolloutOf(fault.serviceId(), fault.moveId());
      if (rollout != null) {
        rollBack(rollout, fault.reason());
      }
    } else if (message instanceof RolloutStateMessage state) {
      onState(state);
    } else if (message instanceof RolloutReport report) {
      onReport(fromInstanceId, report);
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new TreeMap<>();
    rollouts.forEach(
        (service, rollout) ->
            dump.put(
                service,
                Map.of(
                    "state", rollout.state(),
                    "provisional", rollout.isProvisional(),
                    "newVersionEnded", rollout.evidence().newEnded(),
                    "newVersionRunning", rollout.trafficSplit().newRunning())));
    return dump;
  }

  private void applyConfig() {
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    if (config.revision() == configRevision) {
      return;
    }
    configRevision = config.revision();
    Map<String, ServiceRollout> previous = new HashMap<>(rollouts);
    rollouts.clear();
    for (ServiceDeclaration service : config.declarations().services()) {
      if (service.rollout().isEmpty()) {
        continue;
      }
      ServiceRollout known = previous.get(service.id());
      boolean same = known != null && known.state().moveId().equals(RolloutState.moveId(service));
      rollouts.put(service.id(), same ? known : new ServiceRollout(service));
    }
    publish();
  }

  private void runAsLeader(ServiceRollout rollout, long nowNanos) {
    String serviceId = rollout.service().id();
    if (!store.isRead(serviceId)) {
      store.read(serviceId, nowNanos);
    }
    readOwnCounts(rollout);
    if (rollout.evidenceMaxRunning() < rollout.fleetMaxRunning()) {
      nextStateNanos.put(serviceId, nowNanos);
    }
    rollout.setFleetMaxRunning(rollout.evidenceMaxRunning());
    Decision decision = StepPolicy.decide(rollout, epochMillis.getAsLong());
    if (mayApply(decision, rollout)) {
      apply(rollout, decision);
      nextStateNanos.put(serviceId, nowNanos);
    }
    if (store.isRead(serviceId)) {
      store.write(rollout.state(), peers.selfSourceId(), nowNanos);
    }
    if (isDue(nextStateNanos, rollout, nowNanos, STATE_BROADCAST_PERIOD_NANOS)) {
      peers.announce(rollout);
    }
  }

  /** A step up waits until the current step is stored; the end of a rollout never waits for it. */
  private boolean mayApply(Decision decision, ServiceRollout rollout) {
    return switch (decision) {
      case WAIT -> false;
      case STEP_UP ->
          store.isRead(rollout.service().id())
              && (rollout.state().phase() == RolloutPhase.PENDING
                  || store.isStored(rollout.state()));
      case MARK_PASSED, FINISH, TAKE_BACK -> true;
    };
  }

  private void onStoredState(RolloutState stored) {
    ServiceRollout rollout = rolloutOf(stored.serviceId(), stored.moveId());
    if (rollout != null) {
      enter(rollout, stored);
    }
  }

  private void apply(ServiceRollout rollout, Decision decision) {
    RolloutState state = rollout.state();
    RolloutState next =
        switch (decision) {
          case STEP_UP ->
              state.with(
                  RolloutPhase.STEPPING,
                  state.phase() == RolloutPhase.PENDING ? 0 : state.step() + 1,
                  false,
                  "evidence sufficient for the next step");
          case MARK_PASSED ->
              state.with(RolloutPhase.STEPPING, state.step(), true, "last step passed");
          case FINISH ->
              state.with(RolloutPhase.DONE, state.step(), true, "moved by the stated time");
          case TAKE_BACK ->
              state.with(RolloutPhase.TAKEN_BACK, state.step(), false, rollbackReason(rollout));
          case WAIT -> state;
        };
    enter(rollout, next);
  }

  private static String rollbackReason(ServiceRollout rollout) {
    return rollout.evidence().fault().orElse("evidence was not sufficient by the stated time");
  }

  private void runAsFollower(ServiceRollout rollout, long nowNanos) {
    endAtDeadline(rollout);
    boolean urgent = rollout.consumeReportDue();
    if (urgent) {
      nextReportNanos.merge(
          rollout.service().id(), nowNanos + URGENT_REPORT_DELAY_NANOS, Math::min);
    }
    if (isDue(nextReportNanos, rollout, nowNanos, REPORT_PERIOD_NANOS)) {
      peers.report(rollout);
    }
  }

  /** Ends the rollout provisionally when its deadline passes without a decision of the leader. */
  private void endAtDeadline(ServiceRollout rollout) {
    long overdueMillis = epochMillis.getAsLong() - rollout.declaration().moveBy().toEpochMilli();
    if (rollout.state().phase().isFinal() || overdueMillis < 0) {
      return;
    }
    boolean passesAtDeadline = StepPolicy.passesAtDeadline(rollout.state(), rollout);
    RolloutPhase phase = passesAtDeadline ? RolloutPhase.DONE : RolloutPhase.TAKEN_BACK;
    rollout.endProvisionally(
        rollout
            .state()
            .with(
                phase, rollout.state().step(), passesAtDeadline, "deadline rule of this instance"),
        epochMillis.getAsLong());
    logState(rollout);
    publish();
  }

  private void onState(RolloutStateMessage message) {
    ServiceRollout rollout = rolloutOf(message.serviceId(), message.moveId());
    Optional<RolloutPhase> phase = phaseOf(message.phase());
    if (rollout == null
        || phase.isEmpty()
        || message.step() >= rollout.declaration().shareSteps().size()) {
      return;
    }
    rollout.setFleetMaxRunning(message.maxRunning());
    enter(
        rollout,
        new RolloutState(
            message.serviceId(),
            message.moveId(),
            phase.get(),
            message.sequence(),
            message.step(),
            message.stepPassed(),
            message.reason()));
  }

  private static Optional<RolloutPhase> phaseOf(String name) {
    for (RolloutPhase phase : RolloutPhase.values()) {
      if (phase.name().equals(name)) {
        return Optional.of(phase);
      }
    }
    return Optional.empty();
  }

  private void onReport(String fromInstanceId, RolloutReport report) {
    ServiceRollout rollout = rolloutOf(report.serviceId(), report.moveId());
    if (rollout == null) {
      return;
    }
    String source = fromInstanceId + "#" + report.incarnation();
    for (RouteCounters reading : report.counters()) {
      if (reading.ended() >= reading.failed() + reading.slow()) {
        rollout
            .evidence()
            .read(
                source,
                reading.route(),
                reading.newVersion(),
                new RouteCounts(reading.ended(), reading.failed(), reading.slow()));
      }
    }
    rollout.evidence().fault().ifPresent(reason -> rollBack(rollout, reason));
  }

  private void rollBack(ServiceRollout rollout, String reason) {
    if (rollout.state().phase() == RolloutPhase.TAKEN_BACK && !rollout.isProvisional()) {
      return;
    }
    RolloutState state = rollout.state();
    enter(rollout, state.with(RolloutPhase.TAKEN_BACK, state.step(), false, reason));
    peers.sendToAll(new VersionFault(rollout.service().id(), state.moveId(), reason));
  }

  private void enter(ServiceRollout rollout, RolloutState next) {
    if (rollout.enter(next, epochMillis.getAsLong())) {
      logState(rollout);
      publish();
    }
  }

  private void readOwnCounts(ServiceRollout rollout) {
    String source = peers.selfSourceId();
    for (RouteCounters reading : rollout.readings()) {
      rollout
          .evidence()
          .read(
              source,
              reading.route(),
              reading.newVersion(),
              new RouteCounts(reading.ended(), reading.failed(), reading.slow()));
    }
  }

  /** Returns the key whose endpoint shard owner leads the rollout of a service. */
  public static String leadershipKey(String serviceId) {
    return "rollout/" + serviceId;
  }

  private ServiceRollout rolloutOf(String serviceId, String moveId) {
    ServiceRollout rollout = rollouts.get(serviceId);
    return rollout != null && rollout.state().moveId().equals(moveId) ? rollout : null;
  }

  private int localMaxRunning(ServiceRollout rollout) {
    int share = peers.localShareOf(rollout.fleetMaxRunning());
    return rollout.isThrottled() ? Math.min(1, share) : share;
  }

  private static boolean isVersionOf(ServiceRollout rollout, String version) {
    return version.equals(rollout.declaration().toVersion())
        || version.equals(rollout.declaration().fromVersion());
  }

  private boolean isActiveVersion(String serviceId, String version) {
    for (ServiceDeclaration service :
        blackboard.read(ConfigSnapshot.ENTRY).declarations().services()) {
      if (service.id().equals(serviceId)) {
        return service.activeVersion().equals(version);
      }
    }
    return false;
  }

  private static boolean isDue(
      Map<String, Long> nextNanos, ServiceRollout rollout, long nowNanos, long periodNanos) {
    Long next = nextNanos.get(rollout.service().id());
    if (next != null && nowNanos - next < 0) {
      return false;
    }
    nextNanos.put(rollout.service().id(), nowNanos + periodNanos);
    return true;
  }

  private void logState(ServiceRollout rollout) {
    RolloutState state = rollout.state();
    LOG.infof(
        "rollout.state service=%s move=%s phase=%s step=%d passed=%s reason=%s",
        state.serviceId(),
        state.moveId(),
        state.phase(),
        state.step(),
        state.stepPassed(),
        state.reason());
  }

  private void publish() {
    Map<String, RolloutState> states = new TreeMap<>();
    rollouts.forEach((service, rollout) -> states.put(service, rollout.state()));
    statesWriter.accept(Map.copyOf(states));
  }
}
