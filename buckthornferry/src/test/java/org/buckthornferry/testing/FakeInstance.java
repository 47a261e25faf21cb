package org.buckthornferry.testing;

import java.util.ArrayDeque;
import java.util.Random;
import org.buckthornferry.config.ConfigController;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.LocalInstance;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipController;
import org.buckthornferry.membership.MembershipTimings;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.membership.StoreReachability;
import org.buckthornferry.peer.PeerMessage;

/** One process in a {@link FakeFleet}. While it is paused, everything that reaches it waits. */
public final class FakeInstance {
  private final FakeFleet fleet;
  private final LocalInstance local;
  private final Blackboard blackboard = new Blackboard();
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
  public final StoreReachability reachability;
  public final MembershipController membership;
  public final ConfigController config;
  public final long startNanos;
  private boolean ended;
  private boolean paused;

  FakeInstance(FakeFleet fleet, String id, String failureDomain, String region, long incarnation) {
    this.fleet = fleet;
    this.startNanos = fleet.nowNanos();
    this.local = new LocalInstance(id, id + ":1", failureDomain, region, incarnation);
    this.reachability = new StoreReachability(fleet::nowNanos);
    Random random = new Random(fleet.random.nextLong());
    this.membership =
        new MembershipController(
            local,
            MembershipTimings.DEFAULT,
            blackboard,
            () -> fleet.instanceList(this),
            (to, message) -> fleet.transmit(this, to, message),
            reachability,
            random);
    this.config =
        new ConfigController(
            local,
            blackboard,
            new FakeStoreClient(fleet, this),
            (to, message) -> fleet.transmit(this, to, message),
            reachability,
            random);
  }

  public String id() {
    return local.instanceId();
  }

  public String failureDomain() {
    return local.failureDomain();
  }

  public String region() {
    return local.region();
  }

  public long incarnation() {
    return local.incarnation();
  }

  public MembershipView view() {
    return blackboard.read(MembershipView.ENTRY);
  }

  public ConfigSnapshot snapshot() {
    return blackboard.read(ConfigSnapshot.ENTRY);
  }

  /** Returns the state of a member in this instance's view, or null when it knows none. */
  public MemberState stateOf(String id) {
    Member member = view().members().get(id);
    return member == null ? null : member.state();
  }

  public boolean hasEnded() {
    return ended;
  }

  void end() {
    ended = true;
  }

  /** Stops the process from doing anything for a while. */
  public void pauseMillis(long millis) {
    paused = true;
    fleet.after(millis, this::resume);
  }

  private void resume() {
    paused = false;
    while (!waiting.isEmpty()) {
      run(waiting.poll());
    }
  }

  /** Runs something on the control thread of the process. */
  public void run(Runnable task) {
    if (ended) {
      return;
    }
    if (paused) {
      waiting.add(task);
      return;
    }
    task.run();
    fleet.observer.accept(this);
  }

  void tick() {
    membership.onTick(fleet.nowNanos());
    config.onTick(fleet.nowNanos());
  }

  void deliver(String from, PeerMessage message) {
    membership.onMessage(from, message, fleet.nowNanos());
    config.onMessage(from, message, fleet.nowNanos());
  }
}
