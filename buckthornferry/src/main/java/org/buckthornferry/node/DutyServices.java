package org.buckthornferry.node;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.duty.DutyHolders;
import org.buckthornferry.duty.DutyPlatform;
import org.buckthornferry.duty.StoreDutyHolders;
import org.buckthornferry.duty.UsageCounter;
import org.buckthornferry.duty.UsageReporter;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.fleet.PeerRpc;
import org.buckthornferry.fleet.StoreView;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.scaling.DemandCounter;
import org.buckthornferry.scaling.ScalingController;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** The duties of an instance; none without settings for them. */
final class DutyServices {
  private final Optional<UsageReporter> usage;
  private final Optional<ScalingController> scaling;

  /** Creates the duties, which must be done before the view and the peer calls are started. */
  DutyServices(
      Optional<DutySettings> settings,
      UsageCounter counter,
      DemandCounter demand,
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      PeerRpc peers,
      HttpConnector connector,
      String selfId,
      String ownDomain,
      MetricRegistry registry,
      Scheduler scheduler,
      MonotonicClock suspensionCounting,
      RandomGenerator random) {
    if (settings.isEmpty()) {
      usage = Optional.empty();
      scaling = Optional.empty();
      return;
    }
    DutySettings duties = settings.get();
    DutyHolders holders =
        new StoreDutyHolders(
            store,
            view,
            blackboard,
            selfId,
            duties.bounds(),
            scheduler,
            suspensionCounting,
            random);
    // One client for both duties, because the platform limits the rate of their calls together.
    DutyPlatform platform = duties.platform().apply(connector);
    usage =
        duties.reportsUsage()
            ? Optional.of(
                new UsageReporter(
                    duties.bounds(),
                    counter,
                    holders,
                    platform,
                    store,
                    view,
                    blackboard,
                    peers,
                    selfId,
                    registry,
                    scheduler,
                    MonotonicClock.SYSTEM,
                    System::currentTimeMillis,
                    random))
            : Optional.empty();
    usage.ifPresent(reporter -> peers.addHandler(PeerMessageKind.USAGE, reporter::answer));
    scaling =
        duties.ordersEndpoints()
            ? Optional.of(
                new ScalingController(
                    holders,
                    platform,
                    demand,
                    blackboard,
                    peers,
                    selfId,
                    ownDomain,
                    scheduler,
                    MonotonicClock.SYSTEM,
                    registry,
                    random))
            : Optional.empty();
    scaling.ifPresent(controller -> peers.addHandler(PeerMessageKind.DEMAND, controller::answer));
  }

  /** Creates the counter of runs; it counts nothing unless the usage is reported. */
  static UsageCounter counter(Optional<DutySettings> settings) {
    long retentionMillis =
        settings
            .filter(DutySettings::reportsUsage)
            .map(duties -> UsageReporter.retentionMillis(duties.bounds()))
            .orElse(0L);
    return new UsageCounter(retentionMillis, MonotonicClock.SYSTEM);
  }

  void start() {
    usage.ifPresent(UsageReporter::start);
    scaling.ifPresent(ScalingController::start);
  }

  /** Gives the duties up, so that others take over while this instance finishes its requests. */
  void release() {
    usage.ifPresent(UsageReporter::release);
    scaling.ifPresent(ScalingController::stop);
  }

  /** Ends the duties and passes the last counts on. */
  void stop() {
    usage.ifPresent(UsageReporter::stop);
  }
}
