package org.buckthornferry.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;

/**
 * Learns the size of requests by route and the speed of endpoints from finished requests. Starts
 * from the declaration; an endpoint without samples takes the speed of its kind.
 */
public final class CostEstimator {
  /** First guess for a model engine: 4,000 prompt tokens/s, 25 generated tokens/s of a stream. */
  private static final EndpointSpeed MODEL_GUESS = new EndpointSpeed(250_000, 40_000_000);

  /** First guess for a plain service, whose requests count as one token of each sort. */
  private static final EndpointSpeed PLAIN_GUESS = new EndpointSpeed(1_000_000, 20_000_000);

  private final Map<RouteKey, SizeMeans> routes = new HashMap<>();
  private final Map<String, SpeedMeans> endpoints = new HashMap<>();
  private final Map<String, SpeedMeans> kinds = new HashMap<>();

  private record RouteKey(String serviceId, String routePath) {}

  private record SizeMeans(RobustMean prefillTokens, RobustMean decodeTokens) {
    static SizeMeans of(double prefillTokens, double decodeTokens) {
      return new SizeMeans(new RobustMean(prefillTokens), new RobustMean(decodeTokens));
    }
  }

  private record SpeedMeans(
      String kind, EndpointSpeed guess, RobustMean prefill, RobustMean decode) {
    static SpeedMeans of(String kind, EndpointSpeed guess) {
      return new SpeedMeans(
          kind,
          guess,
          new RobustMean(guess.prefillNanosPerToken()),
          new RobustMean(guess.decodeNanosPerToken()));
    }
  }

  /** Takes over routes and endpoints of a declaration; what was learned about them stays. */
  public void declare(ServiceDeclaration service) {
    for (RouteDeclaration route : service.routes()) {
      routes.computeIfAbsent(
          new RouteKey(service.id(), route.path()),
          key ->
              SizeMeans.of(
                  (double) route.expectedPrefillTokens(), (double) route.expectedDecodeTokens()));
    }
    EndpointSpeed guess = service.kind() == ServiceKind.MODEL ? MODEL_GUESS : PLAIN_GUESS;
    for (EndpointDeclaration endpoint : service.endpoints()) {
      String kind = kindOf(service.id(), endpoint);
      kinds.computeIfAbsent(kind, key -> SpeedMeans.of(kind, guess));
      SpeedMeans known = endpoints.get(endpoint.id());
      if (known == null || !known.kind.equals(kind)) {
        endpoints.put(endpoint.id(), SpeedMeans.of(kind, guess));
      }
    }
  }

  /** Returns the kind of an endpoint: those of one kind should be equally fast. */
  public static String kindOf(String serviceId, EndpointDeclaration endpoint) {
    return serviceId + '/' + endpoint.version() + '/' + endpoint.hardware();
  }

  /** Returns the estimated size of a request of a route; 1 token of each sort when unknown. */
  public RouteCost routeCost(String serviceId, String routePath) {
    SizeMeans means = routes.get(new RouteKey(serviceId, routePath));
    return means == null
        ? new RouteCost(1, 1)
        : new RouteCost(means.prefillTokens.value(), means.decodeTokens.value());
  }

  /** Returns the estimated speed of an endpoint. */
  public EndpointSpeed speed(String endpointId) {
    SpeedMeans own = endpoints.get(endpointId);
    if (own == null) {
      return MODEL_GUESS;
    }
    SpeedMeans kind = kinds.get(own.kind);
    return new EndpointSpeed(
        best(own.prefill, kind.prefill).value(), best(own.decode, kind.decode).value());
  }

  /** Learns the size of a finished request; {@code prefillTokens} includes cached ones. */
  public void observeSize(
      String serviceId, String routePath, double prefillTokens, double decodeTokens) {
    SizeMeans means = routes.get(new RouteKey(serviceId, routePath));
    if (means != null) {
      means.prefillTokens.add(prefillTokens);
      means.decodeTokens.add(decodeTokens);
    }
  }

  /** Learns the time per prompt token that was not cached, queueing in the endpoint included. */
  public void observePrefill(String endpointId, double nanosPerToken) {
    SpeedMeans own = endpoints.get(endpointId);
    if (own != null && nanosPerToken > 0) {
      own.prefill.add(nanosPerToken);
      kinds.get(own.kind).prefill.add(nanosPerToken);
    }
  }

  /** Learns the time per generated token of one stream. */
  public void observeDecode(String endpointId, double nanosPerToken) {
    SpeedMeans own = endpoints.get(endpointId);
    if (own != null && nanosPerToken > 0) {
      own.decode.add(nanosPerToken);
      kinds.get(own.kind).decode.add(nanosPerToken);
    }
  }

  private static RobustMean best(RobustMean own, RobustMean kind) {
    return own.isMeasured() ? own : kind;
  }
}
