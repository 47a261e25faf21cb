package org.buckthornferry.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.StoreView;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/**
 * Creates holders that are elected through the store, and passes them the changes of the store that
 * the instance follows anyway.
 */
public final class StoreDutyHolders implements DutyHolders, StoreView.Subscriber {
  static final String PREFIX = "buckthornferry/duties/";

  private final SharedStore store;
  private final StoreView view;
  private final Blackboard blackboard;
  private final String selfId;
  private final LeaseTerms terms;
  private final ToLongFunction<StorePosition> tokens;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final List<StoreDutyHolder> holders = new ArrayList<>();
  private Scheduler.Task settling = Scheduler.Task.NONE;
  private boolean isListed;
  private boolean isEraSettled;

  /**
   * Creates the holders of an instance. Must be called before the view is started.
   *
   * @param clock counts suspensions of the process
   */
  public StoreDutyHolders(
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      String selfId,
      DutyBounds bounds,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this(
        store,
        view,
        blackboard,
        selfId,
        LeaseTerms.of(bounds),
        FencingTokens::of,
        scheduler,
        clock,
        random);
  }

  /** Creates holders with terms and tokens of a test. */
  StoreDutyHolders(
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      String selfId,
      LeaseTerms terms,
      ToLongFunction<StorePosition> tokens,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.store = store;
    this.view = view;
    this.blackboard = blackboard;
    this.selfId = selfId;
    this.terms = terms;
    this.tokens = tokens;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    view.subscribe(this);
  }

  @Override
  public DutyHolder create(DutySubject subject, DutyHolder.Listener listener) {
    StoreDutyHolder holder =
        new StoreDutyHolder(
            subject,
            listener,
            store,
            view,
            blackboard,
            selfId,
            terms,
            tokens,
            () -> isEraSettled,
            scheduler,
            clock,
            random);
    holders.add(holder);
    return holder;
  }

  @Override
  public String prefix() {
    return PREFIX;
  }

  @Override
  public void onStoreRestored() {
    settle();
  }

  /**
   * Lets the holders wait until an earlier holder can no longer act that a restored store does not
   * name. Not measured by the clock, which counts a step of the wall clock as time.
   */
  private void settle() {
    isEraSettled = false;
    settling.cancel();
    settling =
        scheduler.schedule(
            () -> {
              isEraSettled = true;
              notifyHolders();
            },
            terms.ttlMillis());
  }

  @Override
  public void onChanged() {
    if (!isListed) {
      isListed = true;
      settle();
    }
    holders.removeIf(StoreDutyHolder::isStopped);
    notifyHolders();
  }

  private void notifyHolders() {
    List.copyOf(holders).forEach(StoreDutyHolder::onStoreChanged);
  }
}
