package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.VersionChange;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.rollout.CanaryTrial;
import org.buckthornferry.rollout.CanaryTrial.Sample;
import org.buckthornferry.rollout.LatencyBaseline;
import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Coordinates canary rollouts of services to the versions that operators order. Every instance
 * sends a bounded share of the requests to the new version and stops using it as soon as its own
 * counts show a fault. The leader of a rollout, chosen by rendezvous hashing of the service's name,
 * aggregates the counts of all instances and writes the outcome to the store. A conditional write
 * prevents a second leader from writing a different outcome.
 */
public final class RolloutCoordinator {
  private static final Logger LOG = Logger.getLogger(RolloutCoordinator.class);

  /** Base interval between reports to the leader, and between its decisions, in milliseconds. */
  private static final long ROUND_MILLIS = 250;

  /**
   * Added to the interval per instance, in milliseconds; limits a leader to a few hundred reports
   * per second.
   */
  private static final long ROUND_MILLIS_PER_INSTANCE = 8;

  /** Age in rounds from which the last report of an instance no longer counts. */
  private static final long REPORT_EXPIRY_ROUNDS = 4;

  /** Fraction of the instances, leader included, with recent reports that a completion needs. */
  private static final double MIN_REPORTING_SHARE = 0.75;

  /** How long a newly started endpoint process may be slow, in milliseconds. */
  private static final long WARM_UP_MILLIS = 3_000;

  /** Delay after a failed write to the store, in milliseconds. */
  private static final long WRITE_RETRY_MILLIS = 500;

  /** Delay before the phase is written again after the store was restored, in milliseconds. */
  private static final long RESTORE_MILLIS = 200;

  /** Added to that delay per instance that precedes this one, in milliseconds. */
  private static final long RESTORE_MILLIS_PER_INSTANCE = 200;

  private static final int MAX_RESTORE_RANK = 25;

  /** Timeout of a report to the leader, in milliseconds. */
  private static final long REPORT_TIMEOUT_MILLIS = 400;

  private final StoreView view;
  private final DeploymentSource source;
  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final String selfProcessId;
  private final Runnable onChanged;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final LongSupplier epochMillis;
  private final Map<String, Rollout> rollouts = new TreeMap<>();
  private final Map<String, LatencyBaseline> baselines = new HashMap<>();

  /**
   * Creates a coordinator that follows orders once the view is started.
   *
   * @param incarnation distinguishes this process from earlier ones of the same instance
   * @param onChanged called when the versions that may get requests may have changed
   * @param epochMillis the time of day, to determine the age of an endpoint process
   */
  public RolloutCoordinator(
      StoreView view,
      DeploymentSource source,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      long incarnation,
      Runnable onChanged,
      Scheduler scheduler,
      MonotonicClock clock,
      LongSupplier epochMillis) {
    this.view = view;
    this.source = source;
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.selfProcessId = selfId + "#" + incarnation;
    this.onChanged = onChanged;
    this.scheduler = scheduler;
    this.clock = clock;
    this.epochMillis = epochMillis;
    view.subscribe(new PrefixSubscriber(source.operatorPrefix()));
    view.subscribe(new PrefixSubscriber(source.rolloutPrefix()));
  }

  /** Returns the policy that decides which versions of a service get requests. */
  public VersionPolicy policy(String serviceName) {
    return new Policy(serviceName);
  }

  /**
   * Records the outcome of an attempt at an endpoint.
   *
   * @param units amount of work of the request, which makes latencies of short and long requests
   *     comparable
   */
  public void onAttemptEnded(
      Endpoint endpoint, String route, CanaryTrial.Ending ending, double millis, double units) {
    LatencyBaseline baseline =
        baselines.computeIfAbsent(endpoint.serviceName(), name -> new LatencyBaseline());
    Rollout rollout = rollouts.get(endpoint.serviceName());
    boolean isOpen = rollout != null && !rollout.isEnded();
    boolean isNew = isOpen && rollout.isTarget(endpoint.version());
    double startedMillis = epochMillis.getAsLong() - millis - endpoint.startedEpochMillis();
    boolean wasWarmingUp = startedMillis < WARM_UP_MILLIS && ending != CanaryTrial.Ending.FAILED;
    Sample sample = new Sample(route, isNew, ending, millis / units);
    if (isOpen && !(isNew && wasWarmingUp) && rollout.trial.add(sample, baseline)) {
      LOG.infof(
          "move.bad_answer service=%s target=%s endpoint=%s route=%s ending=%s millis=%.0f"
              + " units=%.1f",
          endpoint.serviceName(), endpoint.version(), endpoint.id(), route, ending, millis, units);
      onBadAnswer(rollout);
    }
    if (!isNew && ending == CanaryTrial.Ending.ANSWERED) {
      CanaryTrial.addBaselineSample(baseline, route, sample.millisPerUnit());
    }
  }

  private void onBadAnswer(Rollout rollout) {
    rollout.trial.read(selfProcessId, rollout.trial.readings());
    if (rollout.trial.fault().isPresent() && !rollout.isStopped) {
      rollout.isStopped = true;
      LOG.warnf(
          "move.stopped service=%s reason=\"%s\"", rollout.name(), rollout.trial.fault().get());
    }
    advance(rollout);
  }

  /** Handles a report of an instance that considers this one the leader of a rollout. */
  public byte[] answer(byte[] message) throws IOException {
    RolloutMessages.Report report = RolloutMessages.decodeReport(message);
    Rollout rollout = rollouts.get(report.serviceName());
    if (rollout == null || rollout.order.revision() != report.orderRevision()) {
      return RolloutMessages.encodePhase(RolloutPhase.PENDING);
    }
    rollout.extendElapsedTo(report.elapsedMillis());
    rollout.trial.read(report.processId(), report.readings());
    rollout.lastReportNanos.put(report.processId(), clock.nanoTime());
    rollout.isStopped |= report.hasFault() || rollout.trial.fault().isPresent();
    if (isLeader(rollout)) {
      lead(rollout);
    }
    RolloutPhase phase = rollout.isProven ? RolloutPhase.STEPPING : RolloutPhase.PENDING;
    return RolloutMessages.encodePhase(rollout.isStopped ? RolloutPhase.TAKEN_BACK : phase);
  }

  /** Returns a description of each rollout by service name, for the state dump. */
  public Map<String, String> describe() {
    Map<String, String> lines = new TreeMap<>();
    rollouts.forEach((name, rollout) -> lines.put(name, rollout.toString()));
    return lines;
  }

  private void refreshOrders() {
    Map<String, RolloutRecord> records = new HashMap<>();
    for (StoreItem item : view.items(source.rolloutPrefix())) {
      source.decodeRollout(item).ifPresent(record -> records.put(record.serviceName(), record));
    }
    Set<String> ordered = new HashSet<>();
    for (VersionChange order : source.versionOrders(view.items(source.operatorPrefix()))) {
      ordered.add(order.serviceName());
      Rollout rollout = rollouts.get(order.serviceName());
      if (rollout == null || !rollout.order.since().equals(order.since())) {
        rollout = new Rollout(order);
        rollouts.put(order.serviceName(), rollout);
        LOG.infof(
            "move.ordered service=%s target=%s durationMillis=%d since=%s",
            order.serviceName(), order.targetVersion(), order.durationMillis(), order.since());
      }
      rollout.order = order;
      rollout.adopt(records.get(order.serviceName()));
      if (rollout.isRecordMissing()) {
        scheduleRestore(rollout);
      }
      advance(rollout);
    }
    // A version whose order was withdrawn early was never proven sound, so it is stopped.
    rollouts.forEach(
        (name, rollout) -> rollout.isStopped |= !ordered.contains(name) && !rollout.isEnded());
    onChanged.run();
  }

  /**
   * Writes the phase again if a restored store has lost it and nobody else has written it by then.
   * An instance that knows only the lost state's predecessor would repeat the rollout.
   */
  private void scheduleRestore(Rollout rollout) {
    if (rollout.isRestoring) {
      return;
    }
    rollout.isRestoring = true;
    int rank =
        Rendezvous.rank(
            "move/" + rollout.name(), selfId, blackboard.read(FleetView.ENTRY).listed().keySet());
    scheduler.schedule(
        () -> {
          rollout.isRestoring = false;
          if (rollouts.get(rollout.name()) == rollout && rollout.isRecordMissing()) {
            apply(rollout, rollout.phase);
            scheduleRestore(rollout);
          }
        },
        RESTORE_MILLIS + RESTORE_MILLIS_PER_INSTANCE * Math.min(rank, MAX_RESTORE_RANK));
  }

  /** Reports or leads now, and reschedules itself while the rollout is open. */
  private void advance(Rollout rollout) {
    if (rollouts.get(rollout.name()) != rollout || rollout.isEnded()) {
      return;
    }
    if (isLeader(rollout)) {
      lead(rollout);
    } else {
      report(rollout);
    }
    if (!rollout.isScheduled) {
      rollout.isScheduled = true;
      scheduler.schedule(
          () -> {
            rollout.isScheduled = false;
            advance(rollout);
          },
          roundMillis());
    }
  }

  private long roundMillis() {
    return ROUND_MILLIS
        + ROUND_MILLIS_PER_INSTANCE * blackboard.read(FleetView.ENTRY).instanceCount();
  }

  private boolean isLeader(Rollout rollout) {
    return leaderId(rollout).equals(selfId);
  }

  private String leaderId(Rollout rollout) {
    return Rendezvous.first(
            "move/" + rollout.name(), blackboard.read(FleetView.ENTRY).listed().keySet())
        .orElse(selfId);
  }

  private void report(Rollout rollout) {
    if (rollout.isReporting) {
      return;
    }
    InetSocketAddress leader = blackboard.read(FleetView.ENTRY).listed().get(leaderId(rollout));
    if (leader == null) {
      return;
    }
    rollout.isReporting = true;
    byte[] message =
        RolloutMessages.encodeReport(
            new RolloutMessages.Report(
                rollout.name(),
                rollout.order.revision(),
                selfProcessId,
                rollout.elapsedMillis(),
                rollout.isStopped,
                rollout.trial.readings()));
    Completions.onComplete(
        peers.call(leader, PeerMessageKind.MOVE, message, REPORT_TIMEOUT_MILLIS),
        (reply, failure) -> {
          rollout.isReporting = false;
          if (failure != null) {
            LOG.infof("move.leader_silent service=%s reason=\"%s\"", rollout.name(), failure);
            return;
          }
          onReply(rollout, reply);
        });
  }

  private void onReply(Rollout rollout, byte[] reply) {
    try {
      RolloutPhase phase = RolloutMessages.decodePhase(reply);
      rollout.isProven = phase == RolloutPhase.STEPPING;
      if (phase == RolloutPhase.TAKEN_BACK && !rollout.isStopped) {
        rollout.isStopped = true;
        LOG.infof("move.stopped service=%s reason=\"the leader rolled it back\"", rollout.name());
        onChanged.run();
      }
    } catch (IOException e) {
      LOG.warnf("move.unreadable service=%s reason=%s", rollout.name(), e.getMessage());
    }
  }

  private void lead(Rollout rollout) {
    rollout.trial.read(selfProcessId, rollout.trial.readings());
    rollout.isProven = rollout.trial.looksSound();
    CanaryTrial.Verdict verdict =
        rollout.isStopped
            ? CanaryTrial.Verdict.FAULTY
            : rollout.trial.verdict(rollout.elapsedMillis());
    switch (verdict) {
      case OPEN -> write(rollout, RolloutPhase.STEPPING);
      case SOUND -> {
        if (hasRecentReportsFromMost(rollout)) {
          write(rollout, RolloutPhase.DONE);
        } else if (rollout.trial.isDecisionDue(rollout.elapsedMillis())) {
          rollout.isStopped = true;
          write(rollout, RolloutPhase.TAKEN_BACK);
        }
      }
      case FAULTY -> {
        rollout.isStopped = true;
        write(rollout, RolloutPhase.TAKEN_BACK);
      }
      default -> throw new IllegalStateException("unknown verdict " + verdict);
    }
  }

  /**
   * Requires recent reports from most instances: one that the leader cannot reach may have seen a
   * fault.
   */
  private boolean hasRecentReportsFromMost(Rollout rollout) {
    long sinceNanos =
        clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(REPORT_EXPIRY_ROUNDS * roundMillis());
    long reporting =
        rollout.lastReportNanos.values().stream().filter(at -> at - sinceNanos > 0).count();
    return reporting + 1 >= MIN_REPORTING_SHARE * blackboard.read(FleetView.ENTRY).listed().size();
  }

  private void write(Rollout rollout, RolloutPhase phase) {
    if (rollout.phase != phase) {
      apply(rollout, phase);
    }
  }

  private void apply(Rollout rollout, RolloutPhase phase) {
    boolean isBackingOff = rollout.writeAfterNanos - clock.nanoTime() > 0;
    if (rollout.isWriting || isBackingOff) {
      return;
    }
    rollout.isWriting = true;
    String key = source.rolloutKey(rollout.name());
    byte[] value = source.encodeRollout(rollout.name(), rollout.order.targetVersion(), phase);
    StoreTransaction change =
        StoreTransaction.put(key, value, OptionalLong.empty())
            .onlyIf(key, rollout.recordPosition.revision());
    LOG.infof(
        "move.decided service=%s target=%s phase=%s answers=%d elapsedMillis=%d reason=\"%s\"",
        rollout.name(),
        rollout.order.targetVersion(),
        phase,
        rollout.trial.answers(),
        rollout.elapsedMillis(),
        rollout.trial.fault().orElse(""));
    Completions.onComplete(
        view.write(change),
        (position, failure) -> {
          rollout.isWriting = false;
          if (failure != null) {
            rollout.writeAfterNanos =
                clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_RETRY_MILLIS);
            // If another leader wrote first, its record arrives by the watch; otherwise the next
            // round retries.
            LOG.infof(
                "move.write_failed service=%s phase=%s reason=\"%s\"",
                rollout.name(), phase, failure.getMessage());
            return;
          }
          rollout.onWritten(position);
          rollout.enterPhase(phase);
          onChanged.run();
        });
  }

  /** State of one order on this instance. */
  private final class Rollout {
    private final CanaryTrial trial;
    private VersionChange order;
    private RolloutPhase phase = RolloutPhase.PENDING;
    private Optional<RolloutRecord> record = Optional.empty();
    private StorePosition recordPosition = StorePosition.NONE;
    private boolean isRestoring;
    private long startNanos = clock.nanoTime();
    private long writeAfterNanos = startNanos;
    private final Map<String, Long> lastReportNanos = new HashMap<>();
    private Set<String> replacedVersions = Set.of();
    private boolean isStopped;
    private boolean isProven;
    private boolean isReporting;
    private boolean isWriting;
    private boolean isScheduled;

    private Rollout(VersionChange order) {
      this.order = order;
      this.trial = new CanaryTrial(order.durationMillis());
    }

    private String name() {
      return order.serviceName();
    }

    private boolean isEnded() {
      return phase.isFinal();
    }

    private long elapsedMillis() {
      return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
    }

    /**
     * Extends the elapsed time to that of a peer, which may have seen the order earlier or was not
     * suspended since.
     */
    private void extendElapsedTo(long otherMillis) {
      long otherNanos = clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(otherMillis);
      startNanos = startNanos - otherNanos > 0 ? otherNanos : startNanos;
    }

    /** Applies the record in force; one older than the order belongs to a previous rollout. */
    private void adopt(RolloutRecord known) {
      record = Optional.ofNullable(known);
      StorePosition position =
          new StorePosition(view.position().era(), known == null ? 0 : known.revision());
      // The view may not yet show the last write of this instance.
      if (position.isAfter(recordPosition) || view.position().isAfter(recordPosition)) {
        recordPosition = position;
      }
      if (known != null && belongsToOrder(known)) {
        enterPhase(known.phase());
      }
    }

    private boolean belongsToOrder(RolloutRecord known) {
      return known.since().isAfter(order.since())
          && known.targetVersion().equals(order.targetVersion());
    }

    private void onWritten(StorePosition position) {
      recordPosition = position;
    }

    /**
     * Returns whether the store does not have the phase that it had: it was restored. The order has
     * to be there first, because a record is assigned to an earlier one.
     */
    private boolean isRecordMissing() {
      boolean isKnownToStore = view.position().compareTo(recordPosition) >= 0;
      if (phase == RolloutPhase.PENDING || order.revision() == 0 || !isKnownToStore) {
        return false;
      }
      boolean isStored =
          record
              .filter(
                  known -> known.isStored() && known.targetVersion().equals(order.targetVersion()))
              .filter(known -> known.revision() > order.revision())
              .filter(known -> known.phase() == phase || known.phase().isFinal())
              .isPresent();
      return !isStored;
    }

    private void enterPhase(RolloutPhase next) {
      if (next == phase || phase.isFinal()) {
        return;
      }
      LOG.infof(
          "move.phase service=%s target=%s phase=%s previous=%s placed=\"%s\" elapsedMillis=%d",
          name(), order.targetVersion(), next, phase, trial.placements(), elapsedMillis());
      phase = next;
      if (next == RolloutPhase.DONE) {
        replacedVersions = otherVersions(order);
      }
    }

    private boolean isTarget(String version) {
      return version.equals(order.targetVersion());
    }

    @Override
    public String toString() {
      return String.format(
          "target=%s phase=%s stopped=%s placed=%s answers=%d",
          order.targetVersion(), phase, isStopped, trial.placements(), trial.answers());
    }
  }

  /** Returns the versions that the rollout replaces; none if no endpoint has the target version. */
  private Set<String> otherVersions(VersionChange order) {
    Set<String> versions = new HashSet<>();
    for (Endpoint endpoint : blackboard.read(EndpointList.ENTRY).endpoints()) {
      if (endpoint.serviceName().equals(order.serviceName())) {
        versions.add(endpoint.version());
      }
    }
    return versions.remove(order.targetVersion()) ? versions : Set.of();
  }

  private final class Policy implements VersionPolicy {
    private final String serviceName;

    private Policy(String serviceName) {
      this.serviceName = serviceName;
    }

    /** Returns the open rollout, or null. Called for each endpoint in each dispatch decision. */
    private Rollout openRollout() {
      Rollout rollout = rollouts.get(serviceName);
      return rollout == null || rollout.isEnded() ? null : rollout;
    }

    @Override
    public boolean mayUse(String version) {
      Rollout rollout = rollouts.get(serviceName);
      if (rollout == null) {
        return true;
      }
      boolean isRolledBack =
          rollout.phase == RolloutPhase.TAKEN_BACK || (rollout.isStopped && !rollout.isEnded());
      return isRolledBack
          ? !rollout.isTarget(version)
          : !rollout.replacedVersions.contains(version);
    }

    @Override
    public boolean isCanary(String version) {
      Rollout rollout = openRollout();
      return rollout != null && rollout.isTarget(version);
    }

    @Override
    public boolean wantsCanaryRequest(String kindName) {
      Rollout rollout = openRollout();
      return rollout != null && !rollout.isStopped && wantsNew(rollout, kindName);
    }

    private boolean wantsNew(Rollout rollout, String kindName) {
      OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
      FleetView fleet = blackboard.read(FleetView.ENTRY);
      return rollout.trial.prefersNew(
          kindName,
          new CanaryTrial.Exposure(
              bounds.exposureShare(),
              bounds.exposureSlack(),
              fleet.instanceCount(),
              Rendezvous.rank("move/" + rollout.name(), selfId, fleet.instanceIds())),
          rollout.isProven,
          rollout.elapsedMillis());
    }

    @Override
    public void onPlaced(String kindName, String version) {
      Rollout rollout = openRollout();
      if (rollout != null) {
        rollout.trial.onPlaced(kindName, rollout.isTarget(version));
      }
    }

    @Override
    public void onWithdrawn(String kindName, String version) {
      Rollout rollout = openRollout();
      if (rollout != null) {
        rollout.trial.onWithdrawn(kindName, rollout.isTarget(version));
      }
    }
  }

  private final class PrefixSubscriber implements StoreView.Subscriber {
    private final String prefix;

    private PrefixSubscriber(String prefix) {
      this.prefix = prefix;
    }

    @Override
    public String prefix() {
      return prefix;
    }

    @Override
    public void onChanged() {
      refreshOrders();
    }
  }
}
