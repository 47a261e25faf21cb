package org.buckthornferry.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/** Publishes configuration and endpoints from the store view to the blackboard. */
public final class DeploymentController {
  private static final Logger LOG = Logger.getLogger(DeploymentController.class);

  private final DeploymentSource source;
  private final Blackboard blackboard;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Consumer<Catalog> catalogWriter;
  private final Consumer<EndpointList> endpointWriter;
  private final Runnable onChanged;
  private final StoreView view;
  private final EndpointTracker tracker;
  private Set<String> evacuatedDomains = Set.of();

  /**
   * Creates a controller that is idle until the view starts.
   *
   * @param onChanged called after each write to the blackboard
   */
  public DeploymentController(
      StoreView view,
      DeploymentSource source,
      Blackboard blackboard,
      Runnable onChanged,
      Scheduler scheduler,
      MonotonicClock clock) {
    this.view = view;
    this.source = source;
    this.blackboard = blackboard;
    this.onChanged = onChanged;
    this.scheduler = scheduler;
    this.clock = clock;
    this.catalogWriter = blackboard.writerOf(Catalog.ENTRY);
    this.endpointWriter = blackboard.writerOf(EndpointList.ENTRY);
    this.tracker = new EndpointTracker(source::endpoint);
    view.subscribe(new PrefixSubscriber(source.operatorPrefix(), this::onOperatorItems));
    view.subscribe(new PrefixSubscriber(source.endpointPrefix(), this::onEndpointItems));
  }

  /** Returns whether configuration and endpoints have been read. */
  public boolean isReady() {
    return blackboard.read(Catalog.ENTRY).version() > 0
        && blackboard.read(EndpointList.ENTRY).isKnown();
  }

  private void onOperatorItems() {
    Optional<Catalog> read = source.catalog(view.items(source.operatorPrefix()));
    Catalog current = blackboard.read(Catalog.ENTRY);
    if (read.isPresent() && read.get().version() > current.version()) {
      LOG.infof(
          "config.adopted version=%d previous=%d storePosition=%s",
          read.get().version(), current.version(), view.position());
      catalogWriter.accept(read.get());
    }
    Set<String> domains = source.evacuatedDomains(view.items(source.operatorPrefix()));
    if (!domains.equals(evacuatedDomains)) {
      LOG.infof(
          "evacuation.changed domains=%s previous=%s storePosition=%s",
          domains, evacuatedDomains, view.position());
      evacuatedDomains = domains;
    }
    publish();
  }

  private void onEndpointItems() {
    tracker.update(view.items(source.endpointPrefix()), clock.nanoTime());
    publish();
  }

  private void publish() {
    List<Endpoint> usable = tracker.usable(evacuatedDomains, clock.nanoTime());
    endpointWriter.accept(new EndpointList(usable, !view.position().equals(StorePosition.NONE)));
    onChanged.run();
  }

  private final class PrefixSubscriber implements StoreView.Subscriber {
    private final String prefix;
    private final Runnable callback;

    private PrefixSubscriber(String prefix, Runnable callback) {
      this.prefix = prefix;
      this.callback = callback;
    }

    @Override
    public String prefix() {
      return prefix;
    }

    @Override
    public void onChanged() {
      callback.run();
    }

    @Override
    public void onStoreRecovered(long outageMillis) {
      // No registration lapses in a shorter time, as when a single watch is cut.
      if (outageMillis >= blackboard.read(OperatingBounds.ENTRY).endpointReportMillis()) {
        startGracePeriod();
      }
    }

    @Override
    public void onStoreRestored() {
      startGracePeriod();
    }

    private void startGracePeriod() {
      if (!prefix.equals(source.endpointPrefix())) {
        return;
      }
      tracker.onStoreRecovered(clock.nanoTime());
      // Lapsed registrations that were not renewed by then are dropped.
      scheduler.schedule(
          DeploymentController.this::onEndpointItems, EndpointTracker.LAPSE_GRACE_MILLIS + 1);
    }
  }
}
