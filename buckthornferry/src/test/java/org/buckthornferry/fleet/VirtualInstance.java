package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.SuspensionCountingClock;

/** Simulated instance on virtual time that registers itself and follows the store. */
class VirtualInstance {
  final String id;
  final VirtualInstances.Node process;
  final Blackboard blackboard = new Blackboard();
  final StoreView view;
  final ChangeFeed feed;
  final PeerCaller peers;
  final InstanceRegistry registration;
  private final ViewExchange exchange;
  private final Map<PeerMessageKind, PeerCaller.Handler> handlers =
      new EnumMap<>(PeerMessageKind.class);
  private final Map<PeerMessageKind, Integer> calls = new EnumMap<>(PeerMessageKind.class);

  VirtualInstance(VirtualInstances network, int index, String domain) {
    id = "i" + index;
    InetSocketAddress address = Addresses.parse("127.0.0.1:" + (10_000 + index));
    process = network.start(address);
    SplittableRandom random = new SplittableRandom(index);
    MonotonicClock clock = new SuspensionCountingClock(process, process::timeOfDayMillis);
    peers =
        (other, kind, message, timeoutMillis) -> {
          calls.merge(kind, 1, Integer::sum);
          return process.call(other, kind.name(), message, timeoutMillis);
        };
    view =
        new StoreView(
            process.store(),
            new ReaderWatch(process.store(), blackboard, peers, id, domain, clock),
            this::supersedes,
            process,
            clock,
            random);
    feed = new ChangeFeed(view, process, clock);
    exchange =
        new ViewExchange(
            peers, view, this::otherAddresses, process, new SplittableRandom(-1 - index));
    addHandler(PeerMessageKind.VIEW, exchange::answer);
    process.respondWith((kind, message) -> answer(PeerMessageKind.valueOf(kind), message));
    registration =
        new InstanceRegistry(
            process.store(),
            view,
            id,
            address,
            Optional.empty(),
            domain,
            FleetView.DEFAULT_PROCESSOR_SHARE,
            blackboard,
            this::onChanged,
            process,
            process,
            random);
  }

  void start() {
    view.start();
    registration.start();
    exchange.start();
  }

  private List<InetSocketAddress> otherAddresses() {
    FleetView fleet = blackboard.read(FleetView.ENTRY);
    return fleet.listed().entrySet().stream()
        .filter(entry -> !entry.getKey().equals(id))
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Returns whether the value of an item is known to be newer than that of another one. */
  boolean supersedes(StoreItem item, StoreItem other) {
    return false;
  }

  /** Called when the fleet view on the blackboard may have changed. */
  void onChanged() {}

  void addHandler(PeerMessageKind kind, PeerCaller.Handler handler) {
    handlers.put(kind, handler);
  }

  int calls(PeerMessageKind kind) {
    return calls.getOrDefault(kind, 0);
  }

  private CompletableFuture<byte[]> answer(PeerMessageKind kind, byte[] message) {
    try {
      return kind.lane() == PeerMessageKind.Lane.LONG_POLL
          ? feed.answer(message)
          : CompletableFuture.completedFuture(handlers.get(kind).handle(message));
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
  }
}
