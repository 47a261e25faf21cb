package org.buckthornferry.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Reads configuration and endpoints from the copy of the store and writes them to the blackboard.
 */
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
  private Set<String> evacuated = Set.of();

  /**
   * Creates a controller that does nothing yet.
   *
   * @param onChanged called after each change on the blackboard
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
    view.add(new Section(source.operatorPrefix(), this::onOperatorItems));
    view.add(new Section(source.endpointPrefix(), this::onEndpointItems));
  }

  /** Returns whether configuration and endpoints are known. */
  public boolean isReady() {
    return blackboard.read(Catalog.ENTRY).version() > 0
        && blackboard.read(EndpointList.ENTRY).isKnown();
  }

  private void onOperatorItems() {
    Optional<Catalog> read = source.catalog(view.items(source.operatorPrefix()));
    Catalog current = blackboard.read(Catalog.ENTRY);
    if (read.isPresent() && read.get().version() > current.version()) {
      LOG.infof(
          "config.adopted version=%d previous=%d storeRevision=%d",
          read.get().version(), current.version(), view.revision());
      catalogWriter.accept(read.get());
    }
    Set<String> domains = source.evacuatedDomains(view.items(source.operatorPrefix()));
    if (!domains.equals(evacuated)) {
      LOG.infof(
          "evacuation.changed domains=%s previous=%s storeRevision=%d",
          domains, evacuated, view.revision());
      evacuated = domains;
    }
    publish();
  }

  private void onEndpointItems() {
    tracker.update(view.items(source.endpointPrefix()), clock.nanoTime());
    publish();
  }

  private void publish() {
    List<Endpoint> usable = tracker.usable(evacuated, clock.nanoTime());
    endpointWriter.accept(new EndpointList(usable, view.revision() > 0));
    onChanged.run();
  }

  private final class Section implements StoreView.Section {
    private final String prefix;
    private final Runnable changed;

    private Section(String prefix, Runnable changed) {
      this.prefix = prefix;
      this.changed = changed;
    }

    @Override
    public String prefix() {
      return prefix;
    }

    @Override
    public void onChanged() {
      changed.run();
    }

    @Override
    public void onStoreBack(long lostMillis) {
      if (lostMillis == 0 || !prefix.equals(source.endpointPrefix())) {
        return;
      }
      tracker.onStoreBack(clock.nanoTime());
      // Registrations that have not come back by then are gone.
      scheduler.schedule(
          DeploymentController.this::onEndpointItems, EndpointTracker.LAPSE_GRACE_MILLIS + 1);
    }
  }
}
