package org.buckthornferry.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.PrefixFollower;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/** Follows configuration and endpoints in the store and writes them to the blackboard. */
public final class DeploymentController {
  private static final Logger LOG = Logger.getLogger(DeploymentController.class);

  /**
   * The part of the contact time that a watch waits. A connection that has gone silent is noticed
   * after one watch, which leaves the rest for a new connection.
   */
  private static final double WATCH_SHARE = 0.6;

  private final DeploymentSource source;
  private final Blackboard blackboard;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Consumer<Catalog> catalogWriter;
  private final Consumer<EndpointList> endpointWriter;
  private final Runnable onChanged;
  private final PrefixFollower operatorItems;
  private final PrefixFollower endpointItems;
  private final EndpointTracker tracker;
  private Set<String> evacuated = Set.of();

  /**
   * Creates a controller that does nothing yet.
   *
   * @param onChanged called after each change on the blackboard
   */
  public DeploymentController(
      SharedStore store,
      DeploymentSource source,
      Blackboard blackboard,
      Runnable onChanged,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.source = source;
    this.blackboard = blackboard;
    this.onChanged = onChanged;
    this.scheduler = scheduler;
    this.clock = clock;
    this.catalogWriter = blackboard.writerOf(Catalog.ENTRY);
    this.endpointWriter = blackboard.writerOf(EndpointList.ENTRY);
    this.tracker = new EndpointTracker(source::endpoint);
    long watchMillis =
        (long) (WATCH_SHARE * blackboard.read(OperatingBounds.ENTRY).contactMillis());
    this.operatorItems =
        new PrefixFollower(
            store,
            source.operatorPrefix(),
            watchMillis,
            new Listener("operator", this::onOperatorItems),
            scheduler,
            clock,
            random);
    this.endpointItems =
        new PrefixFollower(
            store,
            source.endpointPrefix(),
            watchMillis,
            new Listener("endpoints", this::onEndpointItems),
            scheduler,
            clock,
            random);
  }

  /** Starts to follow. */
  public void start() {
    operatorItems.start();
    endpointItems.start();
  }

  /** Stops to follow; the blackboard keeps what it has. */
  public void stop() {
    operatorItems.stop();
    endpointItems.stop();
  }

  /** Returns whether configuration and endpoints are known. */
  public boolean isReady() {
    return blackboard.read(Catalog.ENTRY).version() > 0
        && blackboard.read(EndpointList.ENTRY).isKnown();
  }

  /** Returns whether the store answered the last call of each follower. */
  public boolean isStoreReachable() {
    return operatorItems.isReachable() && endpointItems.isReachable();
  }

  /** Returns the two copies, for instances that cannot reach the store. */
  List<PrefixFollower> followers() {
    return List.of(operatorItems, endpointItems);
  }

  private void onOperatorItems() {
    Optional<Catalog> read = source.catalog(operatorItems.items());
    Catalog current = blackboard.read(Catalog.ENTRY);
    if (read.isPresent() && read.get().version() > current.version()) {
      LOG.infof(
          "config.adopted version=%d previous=%d storeRevision=%d",
          read.get().version(), current.version(), operatorItems.revision());
      catalogWriter.accept(read.get());
    }
    Set<String> domains = source.evacuatedDomains(operatorItems.items());
    if (!domains.equals(evacuated)) {
      LOG.infof(
          "evacuation.changed domains=%s previous=%s storeRevision=%d",
          domains, evacuated, operatorItems.revision());
      evacuated = domains;
    }
    publish();
  }

  private void onEndpointItems() {
    tracker.update(endpointItems.items(), clock.nanoTime());
    publish();
  }

  private void publish() {
    List<Endpoint> usable = tracker.usable(evacuated, clock.nanoTime());
    endpointWriter.accept(new EndpointList(usable, endpointItems.revision() > 0));
    onChanged.run();
  }

  private final class Listener implements PrefixFollower.Listener {
    private final String what;
    private final Runnable changed;

    private Listener(String what, Runnable changed) {
      this.what = what;
      this.changed = changed;
    }

    @Override
    public void onChanged(PrefixFollower follower) {
      changed.run();
    }

    @Override
    public void onReachable(long lostMillis) {
      LOG.infof("store.reachable what=%s lostMillis=%d", what, lostMillis);
      if (lostMillis > 0) {
        tracker.onStoreBack(clock.nanoTime());
        // Registrations that have not come back by then are gone.
        scheduler.schedule(
            DeploymentController.this::onEndpointItems, EndpointTracker.LAPSE_GRACE_MILLIS + 1);
      }
    }

    @Override
    public void onUnreachable(Kind reason) {
      LOG.warnf("store.unreachable what=%s reason=%s", what, reason);
    }
  }
}
