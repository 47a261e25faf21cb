package org.buckthornferry.load;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.util.Checks;

/** Sends requests straight to the endpoint stand-ins by a simple policy, for a baseline. */
final class DirectTargets implements TargetChooser {
  private final DirectPolicy policy;
  private final List<InetSocketAddress> engines;
  private final List<InetSocketAddress> services;
  private final RandomGenerator random;
  private final Map<InetSocketAddress, Integer> outstanding = new HashMap<>();
  private int turn;

  DirectTargets(DirectPolicy policy, Scenario scenario, RandomGenerator random) {
    this.policy = policy;
    this.engines = scenario.engines().stream().map(Addresses::parse).toList();
    this.services = scenario.services().stream().map(Addresses::parse).toList();
    this.random = random;
  }

  @Override
  public synchronized InetSocketAddress choose(Arrival arrival, int attempt) {
    boolean model = arrival.requestClass().kind() == ServiceKind.MODEL;
    List<InetSocketAddress> endpoints = model ? engines : services;
    Checks.check(!endpoints.isEmpty(), "the scenario names no endpoint for a direct run");
    InetSocketAddress chosen =
        switch (policy) {
          case ROUND_ROBIN -> endpoints.get(Math.floorMod(turn++, endpoints.size()));
          case LEAST_OUTSTANDING -> leastOutstanding(endpoints);
          case POWER_OF_TWO -> leastOutstanding(List.of(any(endpoints), any(endpoints)));
        };
    outstanding.merge(chosen, 1, Integer::sum);
    return chosen;
  }

  @Override
  public synchronized void ended(InetSocketAddress address) {
    outstanding.merge(address, -1, Integer::sum);
  }

  @Override
  public boolean isDirect() {
    return true;
  }

  private InetSocketAddress any(List<InetSocketAddress> endpoints) {
    return endpoints.get(random.nextInt(endpoints.size()));
  }

  private InetSocketAddress leastOutstanding(List<InetSocketAddress> endpoints) {
    int start = Math.floorMod(turn++, endpoints.size());
    InetSocketAddress least = endpoints.get(start);
    for (int i = 1; i < endpoints.size(); i++) {
      InetSocketAddress other = endpoints.get((start + i) % endpoints.size());
      if (outstanding.getOrDefault(other, 0) < outstanding.getOrDefault(least, 0)) {
        least = other;
      }
    }
    return least;
  }
}
