package org.buckthornferry.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;

/**
 * Estimates the size of requests by route and the speed of endpoints from finished requests. Sizes
 * start from the declaration; an endpoint without samples is given the mean speed of its cohort.
 */
public final class CostEstimator {
  /** Initial speed of a model engine: 4,000 prompt tokens/s, 25 generated tokens/s per stream. */
  private static final EndpointSpeed DEFAULT_MODEL_SPEED = new EndpointSpeed(250_000, 40_000_000);

  /** Initial speed of a plain service, whose requests count as one token of each type. */
  private static final EndpointSpeed DEFAULT_PLAIN_SPEED = new EndpointSpeed(1_000_000, 20_000_000);

  private final Map<RouteKey, SizeMeans> sizesByRoute = new HashMap<>();
  private final Map<String, SpeedMeans> speedsByEndpoint = new HashMap<>();
  private final Map<String, SpeedMeans> speedsByCohort = new HashMap<>();

  private record RouteKey(String serviceId, String routePath) {}

  private record SizeMeans(RobustMean prefillTokens, RobustMean decodeTokens) {
    static SizeMeans of(double prefillTokens, double decodeTokens) {
      return new SizeMeans(new RobustMean(prefillTokens), new RobustMean(decodeTokens));
    }
  }

  private record SpeedMeans(
      String cohort, EndpointSpeed defaultSpeed, RobustMean prefill, RobustMean decode) {
    static SpeedMeans of(String cohort, EndpointSpeed defaultSpeed) {
      return new SpeedMeans(
          cohort,
          defaultSpeed,
          new RobustMean(defaultSpeed.prefillNanosPerToken()),
          new RobustMean(defaultSpeed.decodeNanosPerToken()));
    }
  }

  /** Adds the routes and endpoints of a declaration; keeps the estimates of known ones. */
  public void declare(ServiceDeclaration service) {
    for (RouteDeclaration route : service.routes()) {
      sizesByRoute.computeIfAbsent(
          new RouteKey(service.id(), route.path()),
          key ->
              SizeMeans.of(
                  (double) route.expectedPrefillTokens(), (double) route.expectedDecodeTokens()));
    }
    EndpointSpeed defaultSpeed =
        service.kind() == ServiceKind.MODEL ? DEFAULT_MODEL_SPEED : DEFAULT_PLAIN_SPEED;
    for (EndpointDeclaration endpoint : service.endpoints()) {
      String cohort = cohortOf(service.id(), endpoint);
      speedsByCohort.computeIfAbsent(cohort, key -> SpeedMeans.of(cohort, defaultSpeed));
      SpeedMeans known = speedsByEndpoint.get(endpoint.id());
      if (known == null || !known.cohort.equals(cohort)) {
        speedsByEndpoint.put(endpoint.id(), SpeedMeans.of(cohort, defaultSpeed));
      }
    }
  }

  /** Returns the cohort of an endpoint: the endpoints that should be equally fast. */
  public static String cohortOf(String serviceId, EndpointDeclaration endpoint) {
    return serviceId + '/' + endpoint.version() + '/' + endpoint.hardware();
  }

  /** Returns the estimated size of a request of a route; 1 token of each type when unknown. */
  public RouteCost routeCost(String serviceId, String routePath) {
    SizeMeans means = sizesByRoute.get(new RouteKey(serviceId, routePath));
    return means == null
        ? new RouteCost(1, 1)
        : new RouteCost(means.prefillTokens.value(), means.decodeTokens.value());
  }

  /** Returns the estimated speed of an endpoint. */
  public EndpointSpeed speed(String endpointId) {
    SpeedMeans own = speedsByEndpoint.get(endpointId);
    if (own == null) {
      return DEFAULT_MODEL_SPEED;
    }
    SpeedMeans cohort = speedsByCohort.get(own.cohort);
    return new EndpointSpeed(
        ownOrCohort(own.prefill, cohort.prefill).value(),
        ownOrCohort(own.decode, cohort.decode).value());
  }

  /** Adds the size of a finished request; {@code prefillTokens} includes cached ones. */
  public void observeSize(
      String serviceId, String routePath, double prefillTokens, double decodeTokens) {
    SizeMeans means = sizesByRoute.get(new RouteKey(serviceId, routePath));
    if (means != null) {
      means.prefillTokens.add(prefillTokens);
      means.decodeTokens.add(decodeTokens);
    }
  }

  /** Adds a sample of the time per uncached prompt token, including queueing in the endpoint. */
  public void observePrefill(String endpointId, double nanosPerToken) {
    SpeedMeans own = speedsByEndpoint.get(endpointId);
    if (own != null && nanosPerToken > 0) {
      own.prefill.add(nanosPerToken);
      speedsByCohort.get(own.cohort).prefill.add(nanosPerToken);
    }
  }

  /** Adds a sample of the time per generated token of one stream. */
  public void observeDecode(String endpointId, double nanosPerToken) {
    SpeedMeans own = speedsByEndpoint.get(endpointId);
    if (own != null && nanosPerToken > 0) {
      own.decode.add(nanosPerToken);
      speedsByCohort.get(own.cohort).decode.add(nanosPerToken);
    }
  }

  private static RobustMean ownOrCohort(RobustMean own, RobustMean cohort) {
    return own.isMeasured() ? own : cohort;
  }
}
