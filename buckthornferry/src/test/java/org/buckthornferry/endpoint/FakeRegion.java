package org.buckthornferry.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;

/** Simulates instances of one region and a network that loses, duplicates and reorders messages. */
final class FakeRegion {
  private final SplittableRandom random;
  private final double lossRate;
  private final List<InFlightMessage> inFlight = new ArrayList<>();
  private final Map<String, Blackboard> blackboards = new TreeMap<>();
  private final Map<String, Controller> controllers = new HashMap<>();

  private record InFlightMessage(String from, String to, PeerMessage message) {}

  FakeRegion(int instances, double lossRate, long seed) {
    this.random = new SplittableRandom(seed);
    this.lossRate = lossRate;
    Map<String, Member> members = new TreeMap<>();
    for (int i = 0; i < instances; i++) {
      String id = "i" + i;
      blackboards.put(id, new Blackboard());
      members.put(
          id, new Member(id, "127.0.0.1:1", "kol-a", "kol", 1, 0, MemberState.ALIVE, true, 0));
    }
    blackboards.forEach(
        (id, blackboard) ->
            blackboard
                .writerOf(MembershipView.ENTRY)
                .accept(new MembershipView(id, members, Set.of())));
  }

  Set<String> ids() {
    return blackboards.keySet();
  }

  Blackboard blackboard(String id) {
    return blackboards.get(id);
  }

  PeerSender senderOf(String id) {
    return (to, message) -> {
      for (int copy = 0; copy < 2; copy++) {
        if ((copy == 0 || random.nextInt(10) == 0) && random.nextDouble() >= lossRate) {
          inFlight.add(new InFlightMessage(id, to, message));
        }
      }
    };
  }

  void add(String id, Controller controller) {
    controllers.put(id, controller);
  }

  /** Delivers about half of the messages in random order and ticks every controller. */
  void step(long nowNanos) {
    List<InFlightMessage> delivered = new ArrayList<>();
    for (int i = inFlight.size(); i > 0; i--) {
      InFlightMessage sent = inFlight.remove(random.nextInt(inFlight.size()));
      (random.nextBoolean() ? delivered : inFlight).add(sent);
    }
    for (InFlightMessage sent : delivered) {
      controllers.get(sent.to()).onMessage(sent.from(), sent.message(), nowNanos);
    }
    controllers.values().forEach(controller -> controller.onTick(nowNanos));
  }
}
