package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
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
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Carries out operators' orders to move services to other versions. Every instance gives a version
 * on trial its bounded part of the requests and stops it at once when its own counts show a fault.
 * The leader of a move, an instance chosen by the service's name, gathers the counts of all and
 * writes how the move ends; the store's condition keeps a second leader from writing another end.
 */
public final class RolloutCoordinator {
  private static final Logger LOG = Logger.getLogger(RolloutCoordinator.class);

  /** The time between two reports to the leader, and between its decisions, in milliseconds. */
  private static final long ROUND_MILLIS = 250;

  /** Added to it for each instance, so that a leader hears of a few hundred reports a second. */
  private static final long ROUND_MILLIS_PER_INSTANCE = 8;

  /** An instance whose last report is older than so many rounds is not heard. */
  private static final long HEARD_ROUNDS = 4;

  /** The part of the instances that a leader has to hear to call a version sound. */
  private static final double MIN_HEARD_SHARE = 0.75;

  /** How long a process that has just started may be slow, in milliseconds. */
  private static final long WARM_UP_MILLIS = 3_000;

  /** The pause after a write that failed, in milliseconds. */
  private static final long WRITE_PAUSE_MILLIS = 500;

  /** How long the leader may take to reply, in milliseconds. */
  private static final long REPORT_TIMEOUT_MILLIS = 400;

  private final SharedStore store;
  private final StoreView view;
  private final DeploymentSource source;
  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final String selfSource;
  private final Runnable onChanged;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final LongSupplier epochMillis;
  private final Map<String, Move> moves = new TreeMap<>();
  private final Map<String, LatencyBaseline> baselines = new HashMap<>();

  /**
   * Creates moves that follow orders as soon as the view is started.
   *
   * @param incarnation tells this process from earlier ones of the instance
   * @param onChanged called when other versions may get requests than before
   * @param epochMillis the time of day; tells the age of an endpoint's process
   */
  public RolloutCoordinator(
      SharedStore store,
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
    this.store = store;
    this.view = view;
    this.source = source;
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.selfSource = selfId + "#" + incarnation;
    this.onChanged = onChanged;
    this.scheduler = scheduler;
    this.clock = clock;
    this.epochMillis = epochMillis;
    view.add(new Section(source.operatorPrefix()));
    view.add(new Section(source.rolloutPrefix()));
  }

  /** Returns which versions of a service get requests. */
  public VersionPolicy policy(String serviceName) {
    return new Policy(serviceName);
  }

  /**
   * An attempt at an endpoint has ended.
   *
   * @param units the work of the request, so that the times of long and short ones compare
   */
  public void onAttemptEnded(
      Endpoint endpoint, String route, CanaryTrial.Ending ending, double millis, double units) {
    LatencyBaseline baseline =
        baselines.computeIfAbsent(endpoint.serviceName(), name -> new LatencyBaseline());
    Move move = moves.get(endpoint.serviceName());
    boolean isOpen = move != null && !move.isEnded();
    boolean isNew = isOpen && move.isTarget(endpoint.version());
    double startedMillis = epochMillis.getAsLong() - millis - endpoint.startedEpochMillis();
    boolean wasWarmingUp = startedMillis < WARM_UP_MILLIS && ending != CanaryTrial.Ending.FAILED;
    Sample sample = new Sample(route, isNew, ending, millis / units);
    if (isOpen && !(isNew && wasWarmingUp) && move.trial.add(sample, baseline)) {
      LOG.infof(
          "move.bad_answer service=%s target=%s endpoint=%s route=%s ending=%s millis=%.0f"
              + " units=%.1f",
          endpoint.serviceName(), endpoint.version(), endpoint.id(), route, ending, millis, units);
      onBadAnswer(move);
    }
    if (!isNew && ending == CanaryTrial.Ending.ANSWERED) {
      CanaryTrial.addBaselineSample(baseline, route, sample.millisPerUnit());
    }
  }

  private void onBadAnswer(Move move) {
    move.trial.read(selfSource, move.trial.readings());
    if (move.trial.fault().isPresent() && !move.isStopped) {
      move.isStopped = true;
      LOG.warnf("move.stopped service=%s reason=\"%s\"", move.name(), move.trial.fault().get());
    }
    advance(move);
  }

  /** Answers another instance that takes this one for the leader of a move. */
  public byte[] answer(byte[] message) throws IOException {
    RolloutMessages.Report report = RolloutMessages.decodeReport(message);
    Move move = moves.get(report.serviceName());
    if (move == null || move.order.revision() != report.orderRevision()) {
      return RolloutMessages.encodePhase(RolloutPhase.PENDING);
    }
    move.hasLastedFor(report.elapsedMillis());
    move.trial.read(report.source(), report.readings());
    move.heardNanos.put(report.source(), clock.nanoTime());
    move.isStopped |= report.hasFault() || move.trial.fault().isPresent();
    if (isLeader(move)) {
      lead(move);
    }
    return RolloutMessages.encodePhase(move.isStopped ? RolloutPhase.TAKEN_BACK : move.phase);
  }

  /** Returns what is known about each move, for the state dump. */
  public Map<String, String> describe() {
    Map<String, String> lines = new TreeMap<>();
    moves.forEach((name, move) -> lines.put(name, move.toString()));
    return lines;
  }

  private void follow() {
    Map<String, RolloutRecord> records = new HashMap<>();
    for (StoreItem item : view.items(source.rolloutPrefix())) {
      source.decodeRollout(item).ifPresent(record -> records.put(record.serviceName(), record));
    }
    Set<String> ordered = new HashSet<>();
    for (VersionChange order : source.versionOrders(view.items(source.operatorPrefix()))) {
      ordered.add(order.serviceName());
      Move move = moves.get(order.serviceName());
      if (move == null || move.order.revision() != order.revision()) {
        move = new Move(order);
        moves.put(order.serviceName(), move);
        LOG.infof(
            "move.ordered service=%s target=%s durationMillis=%d storeRevision=%d",
            order.serviceName(), order.targetVersion(), order.durationMillis(), order.revision());
      }
      move.adopt(records.get(order.serviceName()));
      advance(move);
    }
    // A version whose order was withdrawn before its end has not been shown to be sound.
    moves.forEach((name, move) -> move.isStopped |= !ordered.contains(name) && !move.isEnded());
    onChanged.run();
  }

  /** Reports or leads, now and as long as the move is open. */
  private void advance(Move move) {
    if (moves.get(move.name()) != move || move.isEnded()) {
      return;
    }
    if (isLeader(move)) {
      lead(move);
    } else {
      report(move);
    }
    if (!move.isScheduled) {
      move.isScheduled = true;
      scheduler.schedule(
          () -> {
            move.isScheduled = false;
            advance(move);
          },
          roundMillis());
    }
  }

  private long roundMillis() {
    return ROUND_MILLIS
        + ROUND_MILLIS_PER_INSTANCE * blackboard.read(FleetView.ENTRY).instanceCount();
  }

  private boolean isLeader(Move move) {
    return leaderId(move).equals(selfId);
  }

  private String leaderId(Move move) {
    return Rendezvous.first(
            "move/" + move.name(), blackboard.read(FleetView.ENTRY).listed().keySet())
        .orElse(selfId);
  }

  private void report(Move move) {
    if (move.isReporting) {
      return;
    }
    InetSocketAddress leader = blackboard.read(FleetView.ENTRY).listed().get(leaderId(move));
    if (leader == null) {
      return;
    }
    move.isReporting = true;
    byte[] message =
        RolloutMessages.encodeReport(
            new RolloutMessages.Report(
                move.name(),
                move.order.revision(),
                selfSource,
                move.elapsedMillis(),
                move.isStopped,
                move.trial.readings()));
    Completions.onComplete(
        peers.call(leader, PeerMessageKind.MOVE, message, REPORT_TIMEOUT_MILLIS),
        (reply, failure) -> {
          move.isReporting = false;
          if (failure != null) {
            LOG.infof("move.leader_silent service=%s reason=\"%s\"", move.name(), failure);
            return;
          }
          onReply(move, reply);
        });
  }

  private void onReply(Move move, byte[] reply) {
    try {
      if (RolloutMessages.decodePhase(reply) == RolloutPhase.TAKEN_BACK && !move.isStopped) {
        move.isStopped = true;
        LOG.infof("move.stopped service=%s reason=\"the leader takes it back\"", move.name());
        onChanged.run();
      }
    } catch (IOException e) {
      LOG.warnf("move.unreadable service=%s reason=%s", move.name(), e.getMessage());
    }
  }

  private void lead(Move move) {
    move.trial.read(selfSource, move.trial.readings());
    CanaryTrial.Verdict verdict =
        move.isStopped ? CanaryTrial.Verdict.FAULTY : move.trial.verdict(move.elapsedMillis());
    switch (verdict) {
      case OPEN -> write(move, RolloutPhase.STEPPING);
      case SOUND -> {
        if (isHearingMost(move)) {
          write(move, RolloutPhase.DONE);
        } else if (move.trial.isDecisionDue(move.elapsedMillis())) {
          move.isStopped = true;
          write(move, RolloutPhase.TAKEN_BACK);
        }
      }
      case FAULTY -> {
        move.isStopped = true;
        write(move, RolloutPhase.TAKEN_BACK);
      }
      default -> throw new IllegalStateException("unknown verdict " + verdict);
    }
  }

  /** Instances that are out of the leader's reach may have seen a fault. */
  private boolean isHearingMost(Move move) {
    long sinceNanos =
        clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(HEARD_ROUNDS * roundMillis());
    long heard = move.heardNanos.values().stream().filter(at -> at - sinceNanos > 0).count();
    return heard + 1 >= MIN_HEARD_SHARE * blackboard.read(FleetView.ENTRY).listed().size();
  }

  private void write(Move move, RolloutPhase phase) {
    boolean isPausing = move.writeAfterNanos - clock.nanoTime() > 0;
    if (move.phase == phase || move.isWriting || isPausing) {
      return;
    }
    move.isWriting = true;
    String key = source.rolloutKey(move.name());
    byte[] value = source.encodeRollout(move.name(), move.order.targetVersion(), phase);
    StoreTransaction change =
        StoreTransaction.put(key, value, OptionalLong.empty()).onlyIf(key, move.recordRevision);
    LOG.infof(
        "move.decided service=%s target=%s phase=%s answers=%d elapsedMillis=%d reason=\"%s\"",
        move.name(),
        move.order.targetVersion(),
        phase,
        move.trial.answers(),
        move.elapsedMillis(),
        move.trial.fault().orElse(""));
    Completions.onComplete(
        store.apply(change),
        (revision, failure) -> {
          move.isWriting = false;
          if (failure != null) {
            move.writeAfterNanos =
                clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_PAUSE_MILLIS);
            // Whoever has written instead is read from the store; else the next round tries again.
            LOG.infof(
                "move.write_failed service=%s phase=%s reason=\"%s\"",
                move.name(), phase, failure.getMessage());
            return;
          }
          move.enter(phase, revision);
          onChanged.run();
        });
  }

  /** One order and what this instance knows of it. */
  private final class Move {
    private final VersionChange order;
    private final CanaryTrial trial;
    private RolloutPhase phase = RolloutPhase.PENDING;
    private long recordRevision;
    private long startNanos = clock.nanoTime();
    private long writeAfterNanos = startNanos;
    private final Map<String, Long> heardNanos = new HashMap<>();
    private Set<String> replaced = Set.of();
    private boolean isStopped;
    private boolean isReporting;
    private boolean isWriting;
    private boolean isScheduled;

    private Move(VersionChange order) {
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

    /** Another instance may have seen the order earlier, or was not suspended since. */
    private void hasLastedFor(long otherMillis) {
      long otherNanos = clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(otherMillis);
      startNanos = startNanos - otherNanos > 0 ? otherNanos : startNanos;
    }

    /** Takes over the store's record; one that is older than the order belongs to another. */
    private void adopt(RolloutRecord record) {
      if (record == null) {
        return;
      }
      recordRevision = Math.max(recordRevision, record.revision());
      boolean isOfOrder =
          record.revision() > order.revision()
              && record.targetVersion().equals(order.targetVersion());
      if (isOfOrder && record.revision() == recordRevision) {
        enter(record.phase(), record.revision());
      }
    }

    private void enter(RolloutPhase next, long revision) {
      recordRevision = Math.max(recordRevision, revision);
      if (next == phase || phase.isFinal()) {
        return;
      }
      LOG.infof(
          "move.phase service=%s target=%s phase=%s previous=%s placed=\"%s\" elapsedMillis=%d",
          name(), order.targetVersion(), next, phase, trial.placements(), elapsedMillis());
      phase = next;
      if (next == RolloutPhase.DONE) {
        replaced = versionsBeside(order);
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

  /** Returns the versions that end with a move; none while the new one serves nowhere. */
  private Set<String> versionsBeside(VersionChange order) {
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

    /** Returns the move whose end is open, or null; asked for each endpoint in each decision. */
    private Move openMove() {
      Move move = moves.get(serviceName);
      return move == null || move.isEnded() ? null : move;
    }

    @Override
    public boolean mayUse(String version) {
      Move move = moves.get(serviceName);
      if (move == null) {
        return true;
      }
      boolean isTakenBack =
          move.phase == RolloutPhase.TAKEN_BACK || (move.isStopped && !move.isEnded());
      return isTakenBack ? !move.isTarget(version) : !move.replaced.contains(version);
    }

    @Override
    public boolean isCanary(String version) {
      Move move = openMove();
      return move != null && move.isTarget(version);
    }

    @Override
    public boolean wantsCanaryRequest(String kindName) {
      Move move = openMove();
      return move != null && !move.isStopped && wantsNew(move, kindName);
    }

    private boolean wantsNew(Move move, String kindName) {
      OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
      return move.trial.prefersNew(
          kindName,
          new CanaryTrial.Exposure(
              bounds.exposureShare(),
              bounds.exposureSlack(),
              blackboard.read(FleetView.ENTRY).instanceCount()),
          move.elapsedMillis());
    }

    @Override
    public void onPlaced(String kindName, String version) {
      Move move = openMove();
      if (move != null) {
        move.trial.onPlaced(kindName, move.isTarget(version));
      }
    }

    @Override
    public void onWithdrawn(String kindName, String version) {
      Move move = openMove();
      if (move != null) {
        move.trial.onWithdrawn(kindName, move.isTarget(version));
      }
    }
  }

  private final class Section implements StoreView.Section {
    private final String prefix;

    private Section(String prefix) {
      this.prefix = prefix;
    }

    @Override
    public String prefix() {
      return prefix;
    }

    @Override
    public void onChanged() {
      follow();
    }
  }
}
