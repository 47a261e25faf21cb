package org.buckthornferry.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.CrashLog.Crash;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Finds parts of prompts that crash the endpoints which begin to answer them, and refuses requests
 * with these parts on all instances, although no two of the requests are alike.
 *
 * <p>Each instance reports the crashes that it observes, with the requests that may have caused
 * them, to two evaluators, instances chosen by rendezvous hashing that are responsive. {@link
 * PartAnalysis} decides what to blame. Before that, the evaluator asks all instances when they last
 * saw the parts answered and whether the processes are alive after all. It tells all instances, and
 * writes the finding to the store for instances that start later. A later answer to a request with
 * the parts clears them everywhere. Used by one thread.
 */
public final class PartQuarantine implements StoreView.Subscriber {
  private static final Logger LOG = Logger.getLogger(PartQuarantine.class);

  static final String PREFIX = "buckthornferry/parts/";

  /** How long crashes and findings are kept, in milliseconds; the longest TTL of a lease. */
  static final long RETENTION_MILLIS = 600_000;

  /** The rendezvous key by which evaluators are chosen. */
  static final String EVALUATORS_KEY = "parts";

  /** Number of evaluators, so that the loss of one loses no evidence. */
  private static final int EVALUATORS = 2;

  /** Maximum number of findings kept. */
  private static final int MAX_BLAMES = 256;

  /** Maximum number of processes whose last response is kept. */
  private static final int MAX_PROCESSES = 2_048;

  /** Timeout of a call to another instance, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 300;

  /** Delay before an unresponsive instance is called again, in milliseconds. */
  private static final long UNRESPONSIVE_MILLIS = 2_000;

  /**
   * Time after the first broken connection to a process until it counts as crashed, in
   * milliseconds; the connections of a process that goes on responding were broken alone.
   */
  static final long CONFIRM_MILLIS = 250;

  /** Responses within this time of the crash, in milliseconds, were sent before it. */
  private static final long IN_FLIGHT_MILLIS = 100;

  /**
   * Time for which crashes are collected before they are reported or evaluated, in milliseconds.
   */
  private static final long BATCH_MILLIS = 50;

  /** Maximum number of crashes in a report; after a failure of many endpoints the latest ones. */
  private static final int MAX_REPORTED_CRASHES = 64;

  /** Age up to which own crashes are reported again with the next one, in milliseconds. */
  private static final long REPEAT_REPORT_MILLIS = 30_000;

  /**
   * Maximum time between the questions to all instances and the last crash of a finding, in
   * milliseconds.
   */
  private static final long QUESTIONS_VALID_MILLIS = 1_000;

  /** Delay before an instance that did not reply is told again, in milliseconds. */
  private static final long RETELL_MILLIS = 700;

  /** Maximum number of times that an instance is told; the store tells it otherwise. */
  private static final int MAX_TELLS = 10;

  /** Initial delay before a store call is retried, in milliseconds; doubles on each failure. */
  private static final long FIRST_RETRY_MILLIS = 250;

  /** Maximum delay between store calls, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Time between two trials of the same parts, in milliseconds. */
  private static final long TRIAL_INTERVAL_MILLIS = 30_000;

  private final StoreView view;
  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RetentionLease lease;
  private final UnresponsivePeers unresponsive;
  private final SoundParts soundParts = new SoundParts();
  private final CrashLog ownCrashes = new CrashLog();
  private final CrashLog knownCrashes = new CrashLog();
  private final Map<String, Long> firstBreakNanos = new HashMap<>();
  private final Map<String, List<SuspectRequest>> unconfirmed = new HashMap<>();
  private final LinkedHashMap<String, Long> respondedNanos = new LinkedHashMap<>();
  private final Map<String, Finding> findings = new TreeMap<>();
  private final Map<String, Long> askedNanos = new HashMap<>();
  private final Set<String> pendingQuestions = new HashSet<>();
  private final Map<String, Long> trialNanos = new HashMap<>();
  private final Set<String> listedKeys = new HashSet<>();
  private final Set<String> pendingWrites = new HashSet<>();
  private List<String> knownEvaluators = List.of();
  private Scheduler.Task settleTask = Scheduler.Task.NONE;
  private boolean isReportScheduled;
  private boolean isEvaluationScheduled;
  private final Counter crashCount;
  private final Counter dismissedCount;
  private final Counter blamedCount;
  private final Counter clearedCount;
  private final Counter trialCount;

  private record Finding(PartBlame blame, long expiryNanos) {}

  /** Creates a quarantine without known crashes. */
  public PartQuarantine(
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      Scheduler scheduler,
      MonotonicClock clock,
      MetricRegistry registry) {
    this.view = view;
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.scheduler = scheduler;
    this.clock = clock;
    this.lease = new RetentionLease(store, view, clock, RETENTION_MILLIS);
    this.unresponsive = new UnresponsivePeers(UNRESPONSIVE_MILLIS, clock);
    this.crashCount = registry.counter("relay.parts.crashes");
    this.dismissedCount = registry.counter("relay.parts.dismissed");
    this.blamedCount = registry.counter("relay.parts.blamed");
    this.clearedCount = registry.counter("relay.parts.cleared");
    this.trialCount = registry.counter("relay.parts.trials");
    registry.gauge("relay.parts.in_force", () -> (Gauge<Integer>) findings::size);
    view.subscribe(this);
    view.subscribe(new RestoredEntries(view, PREFIX, lease, blackboard, selfId, scheduler));
  }

  /**
   * Returns the finding by which requests with these parts are refused, if any.
   *
   * @param partIds the parts that other requests may share
   */
  public Optional<Refusal> refusal(Collection<String> partIds) {
    if (findings.isEmpty()) {
      return Optional.empty();
    }
    Set<String> parts = new HashSet<>(partIds);
    long nowNanos = clock.nanoTime();
    for (Finding finding : findings.values()) {
      long remainingNanos = finding.expiryNanos - nowNanos;
      if (remainingNanos > 0 && finding.blame.matches(parts, soundParts)) {
        return Optional.of(
            new Refusal(
                finding.blame.key(),
                finding.blame.toString(),
                TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
      }
    }
    return Optional.empty();
  }

  /**
   * A reason to refuse a request.
   *
   * @param key identifies the finding
   * @param parts the parts that crash endpoints
   * @param remainingMillis how long requests with these parts are still refused
   */
  public record Refusal(String key, String parts, long remainingMillis) {}

  /**
   * Asks whether a request may be sent in spite of a refusal, to find out whether the crashes were
   * a coincidence. One request of all instances at a time may, and none once they cannot be one.
   * The returned future never fails.
   */
  public CompletableFuture<Boolean> requestTrial(Refusal refusal) {
    Finding finding = findings.get(refusal.key);
    if (finding == null || !isTrialDue(finding.blame)) {
      return CompletableFuture.completedFuture(false);
    }
    String evaluatorId = evaluators().get(0);
    if (evaluatorId.equals(selfId)) {
      return CompletableFuture.completedFuture(grantTrial(refusal.key));
    }
    // Not asked again before the evaluator has replied and the interval has passed.
    trialNanos.put(refusal.key, clock.nanoTime());
    return Completions.thenOnOutcome(
        call(evaluatorId, PartMessage.EMPTY.withTrial(refusal.key)),
        (reply, failure) ->
            CompletableFuture.completedFuture(
                failure == null && reply.trialKey().equals(refusal.key)));
  }

  private boolean isTrialDue(PartBlame blame) {
    long nowNanos = clock.nanoTime();
    Long lastNanos = trialNanos.get(blame.key());
    return blame.isTentative()
        && nowNanos - blame.lastCrashNanos() >= contactNanos()
        && (lastNanos == null
            || nowNanos - lastNanos >= TimeUnit.MILLISECONDS.toNanos(TRIAL_INTERVAL_MILLIS));
  }

  private boolean grantTrial(String key) {
    Finding finding = findings.get(key);
    if (finding == null || !isTrialDue(finding.blame)) {
      return false;
    }
    trialNanos.put(key, clock.nanoTime());
    trialCount.inc();
    LOG.infof("part.trial parts=%s processes=%d", finding.blame, finding.blame.processes());
    return true;
  }

  /** Records that an endpoint process has responded to anything. */
  public void onResponse(Endpoint endpoint) {
    recordResponse(endpoint.processKey(), clock.nanoTime());
  }

  private void recordResponse(String processKey, long nanos) {
    respondedNanos.remove(processKey);
    respondedNanos.put(processKey, nanos);
    if (respondedNanos.size() > MAX_PROCESSES) {
      respondedNanos.remove(respondedNanos.keySet().iterator().next());
    }
  }

  /**
   * Records that an endpoint answered a request with these parts and survived it.
   *
   * @param sinceBeginMillis time since the endpoint began to answer
   */
  public void onAnswered(Collection<String> partIds, long sinceBeginMillis) {
    if (partIds.isEmpty()) {
      return;
    }
    Set<String> cleared = clearedBy(partIds, ago(sinceBeginMillis));
    if (!cleared.isEmpty()) {
      tellAll(PartMessage.EMPTY.withAnswered(soundParts.lastBegins(cleared)));
    }
  }

  /**
   * Records that an endpoint closed the connection after an answer without a stated length. It
   * counts as answered unless the endpoint turns out to have crashed.
   */
  public void onAnsweredUnlessCrashed(
      Endpoint endpoint, Collection<String> partIds, long sinceBeginMillis) {
    if (partIds.isEmpty()) {
      return;
    }
    String processKey = endpoint.processKey();
    long beginNanos = ago(sinceBeginMillis);
    scheduler.schedule(
        () -> {
          if (!unconfirmed.containsKey(processKey) && !ownCrashes.contains(processKey)) {
            onAnswered(partIds, TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - beginNanos));
          }
        },
        2 * CONFIRM_MILLIS);
  }

  /** Records answered parts; returns those whose blame this ended. */
  private Set<String> clearedBy(Collection<String> partIds, long beginNanos) {
    Set<String> cleared = new LinkedHashSet<>();
    for (Finding finding : List.copyOf(findings.values())) {
      Set<String> before = new LinkedHashSet<>(finding.blame.remainingParts(soundParts));
      before.retainAll(partIds);
      if (!before.isEmpty() && beginNanos - finding.blame.lastCrashNanos() >= 0) {
        cleared.addAll(before);
      }
    }
    soundParts.record(partIds, beginNanos);
    if (!cleared.isEmpty()) {
      removeCleared();
    }
    return cleared;
  }

  private void removeCleared() {
    for (Finding finding : List.copyOf(findings.values())) {
      if (finding.blame.remainingParts(soundParts).isEmpty()) {
        String key = finding.blame.key();
        findings.remove(key);
        clearedCount.inc();
        LOG.infof(
            "part.cleared parts=%s processes=%d contents=%d reason=answered",
            finding.blame, finding.blame.processes(), finding.blame.contents());
        removeEntry(key, FIRST_RETRY_MILLIS);
      }
    }
  }

  /**
   * Records that the connection to an endpoint broke while the endpoint was serving a request.
   *
   * @param partIds the parts that other requests may share
   * @param sinceSentMillis time since the request was sent to the endpoint
   */
  public void onBroken(
      Endpoint endpoint, String contentHash, Collection<String> partIds, long sinceSentMillis) {
    if (partIds.isEmpty()) {
      return;
    }
    String processKey = endpoint.processKey();
    SuspectRequest request =
        new SuspectRequest(contentHash, ago(sinceSentMillis), List.copyOf(partIds));
    unconfirmed.computeIfAbsent(processKey, key -> new ArrayList<>()).add(request);
    if (firstBreakNanos.putIfAbsent(processKey, clock.nanoTime()) == null) {
      scheduler.schedule(() -> confirmCrash(processKey), CONFIRM_MILLIS);
    }
  }

  private void confirmCrash(String processKey) {
    List<SuspectRequest> requests = unconfirmed.remove(processKey);
    Crash crash = new Crash(processKey, firstBreakNanos.remove(processKey), requests);
    if (respondedAfter(crash)) {
      dismiss(processKey, selfId);
      return;
    }
    crashCount.inc();
    LOG.infof("part.crash process=%s requests=%s", processKey, describe(requests));
    ownCrashes.add(crash);
    if (!isReportScheduled) {
      isReportScheduled = true;
      scheduler.schedule(
          () -> {
            isReportScheduled = false;
            report(EVALUATORS, Set.of());
          },
          BATCH_MILLIS);
    }
  }

  private boolean respondedAfter(Crash crash) {
    Long lastNanos = respondedNanos.get(crash.processKey());
    return lastNanos != null && isAfter(lastNanos, crash);
  }

  private static boolean isAfter(long responseNanos, Crash crash) {
    return responseNanos - crash.endedNanos() >= TimeUnit.MILLISECONDS.toNanos(IN_FLIGHT_MILLIS);
  }

  private void dismiss(String processKey, String source) {
    dismissedCount.inc();
    LOG.infof("part.crash_dismissed process=%s reason=responds heardFrom=%s", processKey, source);
  }

  private static String describe(Collection<SuspectRequest> requests) {
    StringBuilder text = new StringBuilder();
    for (SuspectRequest request : requests) {
      text.append(text.isEmpty() ? "" : ";")
          .append(request.contentHash())
          .append(':')
          .append(String.join("/", request.partIds()));
    }
    return text.toString();
  }

  /** Reports the latest own crashes to evaluators that have not been told. */
  private void report(int count, Set<String> toldIds) {
    Set<String> told = new HashSet<>(toldIds);
    int remaining = count;
    List<String> evaluators = evaluators();
    knownEvaluators = evaluators;
    for (String evaluatorId : evaluators) {
      if (remaining == 0 || !told.add(evaluatorId)) {
        continue;
      }
      remaining--;
      reportTo(evaluatorId, latestOwnCrashes(), () -> report(1, told));
    }
  }

  private List<Crash> latestOwnCrashes() {
    List<Crash> crashes = ownCrashes.since(ago(RETENTION_MILLIS));
    crashes.removeIf(crash -> crash.endedNanos() - ago(REPEAT_REPORT_MILLIS) < 0);
    return crashes.subList(Math.max(0, crashes.size() - MAX_REPORTED_CRASHES), crashes.size());
  }

  private void reportTo(String evaluatorId, Collection<Crash> crashes, Runnable onNoReply) {
    if (evaluatorId.equals(selfId)) {
      addCrashes(crashes);
      evaluateSoon();
      return;
    }
    PartMessage message =
        PartMessage.EMPTY
            .withCrashes(crashes)
            .withAnswered(soundParts.lastBegins(partsOf(crashes)));
    Completions.onComplete(
        call(evaluatorId, message),
        (reply, failure) -> {
          if (failure == null) {
            adoptAll(reply.blames(), evaluatorId);
          } else {
            LOG.infof("part.evaluator_silent evaluator=%s reason=\"%s\"", evaluatorId, failure);
            onNoReply.run();
          }
        });
  }

  private void addCrashes(Collection<Crash> crashes) {
    for (Crash crash : crashes) {
      if (!respondedAfter(crash)) {
        knownCrashes.add(crash);
      }
    }
  }

  private static Set<String> partsOf(Collection<Crash> crashes) {
    Set<String> parts = new LinkedHashSet<>();
    for (Crash crash : crashes) {
      crash.requests().forEach(request -> parts.addAll(request.partIds()));
    }
    return parts;
  }

  /** Applies a change of the instances; new evaluators are told of all own crashes. */
  public void refresh() {
    unresponsive.retainAll(blackboard.read(FleetView.ENTRY).instanceIds());
    List<Crash> crashes = ownCrashes.since(ago(RETENTION_MILLIS));
    if (crashes.isEmpty()) {
      return;
    }
    List<String> before = knownEvaluators;
    knownEvaluators = evaluators();
    for (String evaluatorId : knownEvaluators.subList(0, evaluatorCount(knownEvaluators))) {
      if (!before.subList(0, evaluatorCount(before)).contains(evaluatorId)) {
        reportTo(evaluatorId, crashes, () -> {});
      }
    }
  }

  private static int evaluatorCount(List<String> order) {
    return Math.min(EVALUATORS, order.size());
  }

  /** Returns whether other instances report their crashes to this one. */
  boolean isEvaluator() {
    List<String> order = evaluators();
    return order.subList(0, evaluatorCount(order)).contains(selfId);
  }

  /** Returns the instances in the order in which they evaluate, without unresponsive ones. */
  private List<String> evaluators() {
    List<String> order = new ArrayList<>(Rendezvous.order(EVALUATORS_KEY, addresses().keySet()));
    order.removeIf(id -> !id.equals(selfId) && unresponsive.isInBackoff(id));
    if (!order.contains(selfId)) {
      order.add(selfId);
    }
    return order;
  }

  /** Handles a message of another instance. */
  public byte[] answer(byte[] encoded) throws IOException {
    long nowNanos = clock.nanoTime();
    PartMessage message = PartMessage.decode(encoded, nowNanos);
    message.answeredNanos().forEach((part, nanos) -> clearedBy(List.of(part), nanos));
    adoptAll(message.blames(), "peer");
    PartMessage reply =
        PartMessage.EMPTY
            .withAnswered(soundParts.lastBegins(message.askedParts()))
            .withResponded(lastResponses(message.askedProcesses()));
    if (!message.crashes().isEmpty()) {
      addCrashes(message.crashes());
      reply = reply.withBlames(blames());
      evaluateSoon();
    }
    if (!message.trialKey().isEmpty() && grantTrial(message.trialKey())) {
      reply = reply.withTrial(message.trialKey());
    }
    return reply.encode(nowNanos);
  }

  private Map<String, Long> lastResponses(Collection<String> processKeys) {
    Map<String, Long> known = new LinkedHashMap<>();
    for (String processKey : processKeys) {
      Long nanos = respondedNanos.get(processKey);
      if (nanos != null) {
        known.put(processKey, nanos);
      }
    }
    return known;
  }

  private List<PartBlame> blames() {
    return findings.values().stream().map(Finding::blame).toList();
  }

  /** Blames the parts that explain the known crashes, after questions to all instances. */
  private void evaluate() {
    List<PartBlame> candidates = candidates();
    for (PartBlame candidate : candidates) {
      Finding known = findings.get(candidate.key());
      boolean isNews =
          known == null
              || (known.blame.isTentative() && known.blame.processes() < candidate.processes());
      if (!isNews) {
        continue;
      }
      Long asked = askedNanos.get(candidate.key());
      boolean isAsked =
          asked != null
              && candidate.lastCrashNanos() - asked
                  <= TimeUnit.MILLISECONDS.toNanos(QUESTIONS_VALID_MILLIS);
      if (isAsked) {
        blame(candidate);
      } else {
        ask(candidate);
      }
    }
  }

  /**
   * Evaluates once for all reports of a short time, and again when the parts have had time to be
   * answered since the last one.
   */
  private void evaluateSoon() {
    if (!isEvaluationScheduled) {
      isEvaluationScheduled = true;
      scheduler.schedule(
          () -> {
            isEvaluationScheduled = false;
            evaluate();
          },
          BATCH_MILLIS);
    }
    settleTask.cancel();
    settleTask =
        scheduler.schedule(
            this::evaluate, TimeUnit.NANOSECONDS.toMillis(settleNanos()) + CONFIRM_MILLIS);
  }

  private List<PartBlame> candidates() {
    return new PartAnalysis(soundParts, clock.nanoTime(), settleNanos())
        .blames(knownCrashes.since(ago(RETENTION_MILLIS)), blames());
  }

  /**
   * Asks all instances when they last saw the parts of a candidate answered and whether its
   * processes are alive, then evaluates again.
   */
  private void ask(PartBlame candidate) {
    String key = candidate.key();
    if (!pendingQuestions.add(key)) {
      return;
    }
    List<Crash> crashes = new ArrayList<>();
    for (Crash crash : knownCrashes.since(ago(RETENTION_MILLIS))) {
      if (crash.requests().stream()
          .anyMatch(request -> request.partIds().containsAll(candidate.partIds()))) {
        crashes.add(crash);
      }
    }
    PartMessage question =
        PartMessage.EMPTY.withQuestions(
            candidate.partIds(), crashes.stream().map(Crash::processKey).toList());
    long startNanos = clock.nanoTime();
    List<CompletableFuture<Void>> replies = new ArrayList<>();
    for (String otherId : responsiveOthers()) {
      replies.add(
          Completions.thenOnOutcome(
              call(otherId, question),
              (reply, failure) -> {
                if (failure == null) {
                  onAnswersOf(otherId, reply, crashes);
                }
                return CompletableFuture.completedFuture(null);
              }));
    }
    Completions.onComplete(
        CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0])),
        (done, failure) -> {
          pendingQuestions.remove(key);
          if (askedNanos.size() >= MAX_BLAMES) {
            askedNanos.clear();
          }
          askedNanos.put(key, startNanos);
          evaluate();
        });
  }

  private void onAnswersOf(String otherId, PartMessage reply, Collection<Crash> crashes) {
    reply.answeredNanos().forEach((part, nanos) -> clearedBy(List.of(part), nanos));
    for (Crash crash : crashes) {
      Long responded = reply.respondedNanos().get(crash.processKey());
      if (responded != null && isAfter(responded, crash)) {
        knownCrashes.remove(crash.processKey());
        // Its observers report the crash once more with their next one.
        recordResponse(crash.processKey(), responded);
        dismiss(crash.processKey(), otherId);
      }
    }
  }

  private void blame(PartBlame blame) {
    adopt(blame, selfId);
    tellAll(PartMessage.EMPTY.withBlames(List.of(blame)));
    write(blame.key(), FIRST_RETRY_MILLIS);
  }

  private void adoptAll(Collection<PartBlame> blames, String source) {
    blames.forEach(blame -> adopt(blame, source));
  }

  private void adopt(PartBlame blame, String source) {
    if (blame.remainingParts(soundParts).isEmpty()) {
      return;
    }
    Finding known = findings.get(blame.key());
    if (known == null && findings.size() >= MAX_BLAMES) {
      LOG.warnf("part.not_kept parts=%s findings=%d", blame, findings.size());
      return;
    }
    PartBlame all = known == null ? blame : known.blame.union(blame);
    findings.put(
        blame.key(),
        new Finding(all, clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETENTION_MILLIS)));
    if (known == null) {
      blamedCount.inc();
      LOG.warnf(
          "part.blamed parts=%s processes=%d contents=%d incidents=%d tentative=%s from=%s",
          all, all.processes(), all.contents(), all.incidents(), all.isTentative(), source);
      scheduler.schedule(this::removeExpired, RETENTION_MILLIS);
    }
  }

  private void removeExpired() {
    long nowNanos = clock.nanoTime();
    findings.values().removeIf(finding -> finding.expiryNanos - nowNanos <= 0);
    trialNanos.keySet().retainAll(findings.keySet());
  }

  private void tellAll(PartMessage message) {
    for (String otherId : addresses().keySet()) {
      if (!otherId.equals(selfId)) {
        tell(otherId, message, 1);
      }
    }
  }

  /** Tells an instance, again if it does not reply; times are converted to ages each time. */
  private void tell(String otherId, PartMessage message, int tells) {
    Completions.onComplete(
        call(otherId, message),
        (reply, failure) -> {
          if (failure == null) {
            return;
          }
          LOG.infof("part.not_told instance=%s tells=%d reason=\"%s\"", otherId, tells, failure);
          if (tells < MAX_TELLS && addresses().containsKey(otherId)) {
            scheduler.schedule(() -> tell(otherId, message, tells + 1), RETELL_MILLIS);
          }
        });
  }

  private CompletableFuture<PartMessage> call(String otherId, PartMessage message) {
    InetSocketAddress address = addresses().get(otherId);
    if (address == null) {
      return CompletableFuture.failedFuture(new IOException("the instance has left"));
    }
    return Completions.thenOnOutcome(
        peers.call(
            address, PeerMessageKind.PARTS, message.encode(clock.nanoTime()), CALL_TIMEOUT_MILLIS),
        (reply, failure) -> {
          if (failure != null) {
            unresponsive.onNoReply(otherId);
            return CompletableFuture.failedFuture(failure);
          }
          unresponsive.onReply(otherId);
          try {
            return CompletableFuture.completedFuture(PartMessage.decode(reply, clock.nanoTime()));
          } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
          }
        });
  }

  private List<String> responsiveOthers() {
    List<String> others = new ArrayList<>(addresses().keySet());
    others.removeIf(id -> id.equals(selfId) || unresponsive.isInBackoff(id));
    return others;
  }

  /** Returns the addresses of all instances that may be running. */
  private Map<String, InetSocketAddress> addresses() {
    return blackboard.read(FleetView.ENTRY).addresses();
  }

  @Override
  public String prefix() {
    return PREFIX;
  }

  @Override
  public void onChanged() {
    Set<String> before = Set.copyOf(listedKeys);
    listedKeys.clear();
    long nowNanos = clock.nanoTime();
    for (StoreItem item : view.items(PREFIX)) {
      String key = item.key().substring(PREFIX.length());
      listedKeys.add(key);
      if (before.contains(key)) {
        continue;
      }
      try {
        // An entry states no time; the crashes were before it was read.
        PartMessage.decode(item.value(), nowNanos).blames().forEach(blame -> adoptListed(blame));
      } catch (IOException e) {
        LOG.warnf("part.unreadable key=%s reason=%s", item.key(), e.getMessage());
      }
    }
    // A removed entry was cleared by an answer or has expired.
    for (String key : before) {
      if (!listedKeys.contains(key) && findings.remove(key) != null) {
        LOG.infof("part.unlisted key=%s", key);
      }
    }
  }

  private void adoptListed(PartBlame blame) {
    // A pending call removes the entry of a finding that was cleared while it was being written.
    if (!findings.containsKey(blame.key()) && !pendingWrites.contains(blame.key())) {
      adopt(blame, "store");
    }
  }

  /** Writes a finding to the store, with retries until it is stored or no longer in force. */
  private void write(String key, long retryMillis) {
    Finding finding = findings.get(key);
    if (finding == null || !pendingWrites.add(key)) {
      return;
    }
    byte[] value =
        PartMessage.EMPTY.withBlames(List.of(finding.blame)).encode(finding.blame.lastCrashNanos());
    Completions.onComplete(
        lease.write(leaseId -> StoreTransaction.put(PREFIX + key, value, leaseId)),
        (position, failure) -> {
          if (failure == null) {
            pendingWrites.remove(key);
            // It may have been cleared meanwhile.
            removeEntry(key, FIRST_RETRY_MILLIS);
            return;
          }
          retryLater(key, failure, retryMillis, this::write);
        });
  }

  private void removeEntry(String key, long retryMillis) {
    if (findings.containsKey(key) || !pendingWrites.add(key)) {
      return;
    }
    Completions.onComplete(
        view.write(StoreTransaction.removal(PREFIX + key)),
        (position, failure) -> {
          if (failure == null) {
            pendingWrites.remove(key);
            // The same parts may have been blamed again meanwhile.
            write(key, FIRST_RETRY_MILLIS);
            return;
          }
          retryLater(key, failure, retryMillis, this::removeEntry);
        });
  }

  /** A call to the store that changes the entry of a key. */
  @FunctionalInterface
  private interface StoreCall {
    void start(String key, long retryMillis);
  }

  private void retryLater(String key, Throwable failure, long retryMillis, StoreCall call) {
    long nextMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    LOG.infof(
        "part.write_failed key=%s reason=\"%s\" retryMillis=%d",
        key, failure.getMessage(), nextMillis);
    scheduler.schedule(
        () -> {
          pendingWrites.remove(key);
          call.start(key, nextMillis);
        },
        nextMillis);
  }

  private long ago(long millis) {
    return clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private long contactNanos() {
    return TimeUnit.MILLISECONDS.toNanos(blackboard.read(OperatingBounds.ENTRY).contactMillis());
  }

  /** Half of the time in which a blame is due, so that the other half is left for the calls. */
  private long settleNanos() {
    return contactNanos() / 2;
  }
}
