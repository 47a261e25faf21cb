package org.buckthornferry.duty;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.fleet.StoreView;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Reports the usage of each window to the platform. Every instance passes its counts on to the
 * holder. The holder adds them up some seconds after the end of a window, writes the report to the
 * store and sends exactly what is written, so that a successor repeats it. A window for which too
 * many counts are missing is not reported.
 */
public final class UsageReporter implements DutyHolder.Listener {
  private static final Logger LOG = Logger.getLogger(UsageReporter.class);

  /** The name of the duty in settings, store keys and metrics. */
  public static final String DUTY_NAME = "usage_report";

  static final DutySubject SUBJECT = new DutySubject(DUTY_NAME, "all");

  static final String REPORT_PREFIX = StoreDutyHolders.PREFIX + SUBJECT + "/window/";

  /** Interval at which the holder looks for windows that are to be reported, in milliseconds. */
  private static final long WORK_MILLIS = 200;

  /** Mean delay before a failed write of a report is repeated, in milliseconds. */
  private static final long WRITE_RETRY_MILLIS = 400;

  /**
   * Time between the write of a report and its first sending, in milliseconds. The copies of the
   * other instances have the report by then; a restored store could otherwise lose a report that
   * only its writer has seen and the platform has accepted.
   */
  private static final long SPREAD_MILLIS = 500;

  /**
   * The share of the time until a report is due after which it is written if no count is missing.
   * The rest suffices for a successor: 3 s until the lease ends and 1 s for the counts.
   */
  private static final double COMPLETE_SHARE = 0.4;

  /** The share after which a report is written if no more counts are missing than tolerated. */
  private static final double TOLERABLE_SHARE = 0.7;

  /** The share after which a window with too many missing counts is omitted. */
  private static final double OMITTED_SHARE = 0.9;

  /** The share of the tolerance up to which a report counts as complete. */
  private static final double COMPLETE_TOLERANCE_SHARE = 0.1;

  /** Written reports that stay in the store; more than a restored store and a successor need. */
  private static final int KEPT_REPORTS = 24;

  /** Old reports that one write removes; more than one, to catch up after a pause. */
  private static final int MAX_REMOVALS = 4;

  private final DutyBounds bounds;
  private final UsageCounter counter;
  private final UsageSender sender;
  private final UsageCollector collector;
  private final DutyHolder holder;
  private final DutyCalls calls;
  private final DutyPlatform platform;
  private final SharedStore store;
  private final StoreView view;
  private final Blackboard blackboard;
  private final String selfId;
  private final long process;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final Set<Long> begun = new HashSet<>();
  private Scheduler.Task nextPass = Scheduler.Task.NONE;
  private Scheduler.Task nextWork = Scheduler.Task.NONE;
  private OptionalLong tenure = OptionalLong.empty();
  private boolean isFirstTenure;
  private long gainedNanos;
  private boolean isStopped;

  /**
   * Creates a reporter that is not started.
   *
   * @param counter keeps runs for {@link #retentionMillis} and uses the same clock
   * @param clock a steady clock, which need not count suspensions
   */
  public UsageReporter(
      DutyBounds bounds,
      UsageCounter counter,
      DutyHolders holders,
      DutyPlatform platform,
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      MetricRegistry registry,
      Scheduler scheduler,
      MonotonicClock clock,
      LongSupplier wallClockMillis,
      RandomGenerator random) {
    this.bounds = bounds;
    this.counter = counter;
    this.process = random.nextLong();
    this.sender =
        new UsageSender(
            counter,
            blackboard,
            peers,
            selfId,
            process,
            bounds.reportWindowMillis(),
            retentionMillis(bounds),
            clock,
            wallClockMillis);
    this.collector =
        new UsageCollector(process, bounds.reportWindowMillis(), retentionMillis(bounds));
    this.platform = platform;
    this.store = store;
    this.view = view;
    this.blackboard = blackboard;
    this.selfId = selfId;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.calls = new DutyCalls(DUTY_NAME, registry, scheduler, clock, random);
    this.holder = holders.create(SUBJECT, this);
    calls.add(holder);
  }

  /** Returns for how long runs and counts are kept: until their report is due, and two windows. */
  public static long retentionMillis(DutyBounds bounds) {
    return bounds.usageLateMillis() + 2 * bounds.reportWindowMillis();
  }

  /** Starts to pass counts on and to stand for election. */
  public void start() {
    holder.start();
    pass();
  }

  /** Gives the duty up; counts are still passed on, because requests in progress go on. */
  public void release() {
    var unused = holder.stop();
    nextWork.cancel();
  }

  /** Ends the reporter and passes the last counts on. */
  public void stop() {
    release();
    isStopped = true;
    nextPass.cancel();
    receiver().ifPresent(sender::sendTo);
  }

  /** Takes in the counts of another instance. */
  public byte[] answer(byte[] message) throws IOException {
    long nowNanos = clock.nanoTime();
    collector.accept(UsageMessage.decode(message), nowNanos);
    OptionalLong trueMillis =
        tenure.isPresent()
            ? collector.trueMillisAt(nowNanos, fleet().instanceIds())
            : OptionalLong.empty();
    return new UsageMessage.Reply(process, trueMillis).encode();
  }

  private FleetView fleet() {
    return blackboard.read(FleetView.ENTRY);
  }

  /** Passes the counts on, and schedules the next time. */
  private void pass() {
    if (isStopped) {
      return;
    }
    if (tenure.isPresent()) {
      collectOwn();
    }
    receiver().ifPresent(sender::sendTo);
    long jitterMillis = UsageCollector.PERIOD_MILLIS / 10;
    nextPass =
        scheduler.schedule(
            this::pass, UsageCollector.PERIOD_MILLIS - random.nextLong(jitterMillis));
  }

  private void collectOwn() {
    long nowNanos = clock.nanoTime();
    collector.accept(sender.message(), nowNanos);
    collector
        .trueMillisAt(nowNanos, fleet().instanceIds())
        .ifPresent(trueMillis -> sender.setTrueMillis(nowNanos, trueMillis));
  }

  /** Returns the holder, or for the holder itself the instance that would succeed it. */
  private Optional<String> receiver() {
    if (tenure.isEmpty()) {
      return holder.holderId().filter(id -> !id.equals(selfId));
    }
    Set<String> others = new TreeSet<>(fleet().listed().keySet());
    others.remove(selfId);
    return Rendezvous.first(StoreDutyHolder.key(SUBJECT), others);
  }

  @Override
  public void onGained(long fencingToken) {
    tenure = OptionalLong.of(fencingToken);
    gainedNanos = clock.nanoTime();
    isFirstTenure = view.items(REPORT_PREFIX).isEmpty();
    begun.clear();
    collectOwn();
    work(fencingToken);
  }

  @Override
  public void onLost(long fencingToken) {
    tenure = OptionalLong.empty();
    begun.clear();
  }

  private boolean isCurrent(long fencingToken) {
    return tenure.equals(OptionalLong.of(fencingToken));
  }

  /** Begins the reports that are to be written or repeated. */
  private void work(long fencingToken) {
    if (!isCurrent(fencingToken) || isStopped) {
      return;
    }
    nextWork = scheduler.schedule(() -> work(fencingToken), WORK_MILLIS);
    collectOwn();
    OptionalLong now = sender.trueMillisAt(clock.nanoTime());
    if (now.isEmpty() || holder.fencingToken().isEmpty()) {
      return;
    }
    long nowMillis = now.getAsLong();
    long windowMillis = bounds.reportWindowMillis();
    long first = Math.floorDiv(nowMillis - bounds.usageLateMillis(), windowMillis);
    long last = Math.floorDiv(nowMillis - lateMillis(COMPLETE_SHARE), windowMillis) - 1;
    begun.removeIf(window -> window < first);
    for (long window = first; window <= last; window++) {
      if (!begun.contains(window)) {
        begin(fencingToken, window, nowMillis);
      }
    }
  }

  private long lateMillis(double share) {
    return (long) (share * bounds.usageLateMillis());
  }

  private static String key(long window) {
    return REPORT_PREFIX + String.format("%020d", window);
  }

  private void begin(long fencingToken, long window, long nowMillis) {
    Optional<StoreItem> written = view.item(key(window));
    if (written.isPresent()) {
      begun.add(window);
      if (written.get().isStored()) {
        send(fencingToken, window, written.get().value());
      } else {
        // A restored store has lost the report, which may have been sent.
        write(fencingToken, window, written.get().value(), written.get().revision());
      }
      return;
    }
    long endMillis = (window + 1) * bounds.reportWindowMillis();
    long startedMillis = sender.trueMillisAt(counter.completeSinceNanos()).getAsLong();
    if (endMillis <= startedMillis) {
      // An earlier process may have sent a report that a restored store has lost.
      begun.add(window);
      LOG.warnf(
          "usage.omitted window=%d reason=\"the window ended before this process started\"",
          window);
      return;
    }
    UsageCollector.Total total = collector.total(window, fleet(), knowsEarlierMillis());
    double missing = total.missingShare();
    long ageMillis = nowMillis - endMillis;
    boolean isComplete = missing <= COMPLETE_TOLERANCE_SHARE * bounds.usageTolerance();
    boolean isTolerable =
        missing <= bounds.usageTolerance() && ageMillis >= lateMillis(TOLERABLE_SHARE);
    if (isComplete || isTolerable) {
      begun.add(window);
      LOG.infof(
          "usage.totalled window=%d customers=%d runs=%d missingShare=%.4f ageMillis=%d",
          window,
          total.counts().size(),
          total.counts().values().stream().mapToLong(Long::longValue).sum(),
          missing,
          ageMillis);
      write(fencingToken, window, UsageMessage.encodeReport(total.counts()), 0);
    } else if (ageMillis >= lateMillis(OMITTED_SHARE)) {
      begun.add(window);
      LOG.warnf(
          "usage.omitted window=%d missingShare=%.4f toleratedShare=%.4f ageMillis=%d",
          window, missing, bounds.usageTolerance(), ageMillis);
    }
  }

  /**
   * Returns since when this instance would have heard of processes that have ended. Before the
   * first holder of a deployment there were none.
   */
  private long knowsEarlierMillis() {
    return isFirstTenure ? 0 : sender.trueMillisAt(gainedNanos).getAsLong();
  }

  /** Writes a report if this instance is still the holder and nothing else is written. */
  private void write(long fencingToken, long window, byte[] report, long revision) {
    Optional<StoreTransaction.Condition> isHolder = holder.storeCondition();
    if (isHolder.isEmpty()) {
      return;
    }
    StoreTransaction change =
        StoreTransaction.put(key(window), report, OptionalLong.empty())
            .onlyIf(key(window), revision)
            .onlyIf(isHolder.get().key(), isHolder.get().revision());
    int removals = 0;
    for (StoreItem old : view.items(REPORT_PREFIX)) {
      boolean isOld = old.key().compareTo(key(window - KEPT_REPORTS)) < 0;
      if (isOld && old.isStored() && removals < MAX_REMOVALS) {
        change = change.andRemove(old.key());
        removals++;
      }
    }
    Completions.onComplete(
        view.write(change),
        (position, failure) -> {
          if (!isCurrent(fencingToken)) {
            return;
          }
          if (failure == null) {
            sendWhenSpread(fencingToken, window, report);
            return;
          }
          LOG.infof("usage.not_written window=%d reason=\"%s\"", window, failure.getMessage());
          Kind kind = StoreException.kindOf(failure);
          if (kind == Kind.CONFLICT || kind == Kind.OUTCOME_UNKNOWN) {
            readBack(fencingToken, window);
          } else {
            beginAgain(fencingToken, window);
          }
        });
  }

  /** Sends what is written, by this instance or another; begins again if nothing is. */
  private void readBack(long fencingToken, long window) {
    Completions.onComplete(
        store.list(key(window), ""),
        (page, failure) -> {
          if (!isCurrent(fencingToken)) {
            return;
          }
          Optional<StoreItem> written =
              failure == null
                  ? page.items().stream()
                      .filter(item -> item.key().equals(key(window)) && !item.isRemoval())
                      .findFirst()
                  : Optional.empty();
          if (written.isPresent()) {
            sendWhenSpread(fencingToken, window, written.get().value());
          } else {
            beginAgain(fencingToken, window);
          }
        });
  }

  private void beginAgain(long fencingToken, long window) {
    scheduler.schedule(
        () -> {
          if (isCurrent(fencingToken)) {
            begun.remove(window);
          }
        },
        (long) (WRITE_RETRY_MILLIS * (0.75 + 0.5 * random.nextDouble())));
  }

  /** Sends a report that was written just now, when the other instances have seen it. */
  private void sendWhenSpread(long fencingToken, long window, byte[] report) {
    scheduler.schedule(
        () -> {
          if (isCurrent(fencingToken)) {
            send(fencingToken, window, report);
          }
        },
        SPREAD_MILLIS);
  }

  private void send(long fencingToken, long window, byte[] report) {
    Map<String, Long> counts;
    try {
      counts = UsageMessage.decodeReport(report);
    } catch (IOException e) {
      LOG.errorf("usage.unreadable window=%d reason=%s", window, e.getMessage());
      return;
    }
    long nowNanos = clock.nanoTime();
    long ageMillis =
        sender.trueMillisAt(nowNanos).getAsLong() - (window + 1) * bounds.reportWindowMillis();
    long leftMillis = bounds.usageLateMillis() + bounds.reportWindowMillis() - ageMillis;
    Completions.onComplete(
        calls.callUntil(
            holder,
            "window " + window,
            nowNanos + TimeUnit.MILLISECONDS.toNanos(leftMillis),
            (token, maySend) -> platform.reportUsage(token, maySend, window, counts)),
        (reply, failure) -> {
          if (reply == DutyReply.ACCEPTED) {
            LOG.infof("usage.reported window=%d customers=%d", window, counts.size());
          } else if (reply == DutyReply.NOT_SENT) {
            beginAgain(fencingToken, window);
          } else {
            LOG.warnf("usage.not_reported window=%d reply=%s", window, reply);
          }
        });
  }
}
