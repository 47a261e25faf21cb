package org.buckthornferry.scaling;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Service;

/**
 * Decides how many endpoints of one service run in each failure domain. Called once a second.
 *
 * <p>An endpoint is worth its price while it is needed for a certain share of the time, so that the
 * total is the demand that is exceeded for no more than this share, over the last minute and the
 * surges that are to be expected. An endpoint serves only seconds after its order, when most surges
 * are over; the capacity for them has to run before. The total is never below the peak of the last
 * seconds. Requests may run in any failure domain, so half of the endpoints are divided evenly and
 * half by demand.
 */
public final class ScalingDecision {
  /** The weight of the even division between failure domains; the rest follows demand. */
  private static final double EVEN_WEIGHT = 0.5;

  /** The share of a second's demand in the smoothed demand of a failure domain. */
  private static final double DOMAIN_SMOOTHING = 0.1;

  /** Endpoints above the target that remain; noise moves the target of a domain by one. */
  private static final int MARGIN = 1;

  /** Surplus, beyond the margin, from which a domain is reduced. */
  private static final int SURPLUS = 2;

  /** How long a surplus lasts before a domain is reduced, in milliseconds. */
  private static final long SURPLUS_MILLIS = 5_000;

  /** The shortest interval between two reductions by one endpoint, in milliseconds. */
  private static final long REDUCTION_MILLIS = 2_000;

  /**
   * Added to the startup time before endpoints that do not serve count as missing, in milliseconds.
   */
  private static final long STARTUP_SLACK_MILLIS = 2_000;

  /** A domain whose serving endpoints fall below this share of the expected ones is lost. */
  private static final double LOST_SHARE = 0.5;

  private final ScalingPolicy policy;
  private final SlotDemand slotDemand = new SlotDemand();
  private final DemandHistory history;
  private final Map<String, Domain> domains = new TreeMap<>();
  private Service.Scaling terms;

  /** The state of one failure domain. */
  private static final class Domain {
    private int desired;
    private int target;
    private int serving;
    private int provenServing;
    private long raisedNanos;
    private long neededNanos;
    private long reducedNanos;
    private double demandSlots;
    private double smoothedSlots;
    private boolean isLost;
    private boolean isReducing;

    private Domain(int desired, long nowNanos) {
      this.desired = desired;
      this.target = desired;
      this.raisedNanos = nowNanos;
      this.neededNanos = nowNanos;
      this.reducedNanos = nowNanos;
    }
  }

  /** Creates a decision that knows no demand. */
  public ScalingDecision(Service.Scaling terms, ScalingPolicy policy) {
    this.terms = terms;
    this.policy = policy;
    this.history = new DemandHistory(policy);
  }

  /** Applies changed terms. */
  public void setTerms(Service.Scaling terms) {
    this.terms = terms;
  }

  /** Sets the number that is ordered by an earlier holder, or by the holder of another domain. */
  public void setOrdered(String failureDomain, int desired, long nowNanos) {
    domains.computeIfAbsent(failureDomain, name -> new Domain(desired, nowNanos)).desired = desired;
  }

  /** Returns whether enough is known of the demand for an order. */
  public boolean isReady() {
    return slotDemand.isKnown();
  }

  /**
   * Returns the number of endpoints to order, by failure domain. Until the demand is known, these
   * are the serving ones or those that were ordered before.
   *
   * @param loads the failure domains in which the service runs
   * @param slots the mean number of slots of an endpoint, positive
   */
  public Map<String, Integer> decide(Map<String, DomainLoad> loads, double slots, long nowNanos) {
    slotDemand.advance();
    loads.values().forEach(load -> slotDemand.add(load.demand()));
    domains.keySet().retainAll(loads.keySet());
    loads.forEach(
        (name, load) ->
            update(
                domains.computeIfAbsent(name, key -> new Domain(clamp(load.serving()), nowNanos)),
                load.serving(),
                slotDemand.slots(load.demand()),
                nowNanos));
    if (slotDemand.isKnown()) {
      history.add(domains.values().stream().mapToDouble(domain -> domain.demandSlots).sum());
      divide(totalEndpoints(slots));
      domains.values().forEach(domain -> follow(domain, nowNanos));
    }
    Map<String, Integer> desired = new HashMap<>();
    domains.forEach((name, domain) -> desired.put(name, domain.desired));
    return desired;
  }

  /** Returns the slots that the requests arriving in a failure domain need. */
  public double demandSlots(String failureDomain) {
    Domain domain = domains.get(failureDomain);
    return domain == null ? 0 : domain.demandSlots;
  }

  private void update(Domain domain, int serving, double demandSlots, long nowNanos) {
    domain.smoothedSlots =
        domain.smoothedSlots == 0
            ? demandSlots
            : domain.smoothedSlots + DOMAIN_SMOOTHING * (demandSlots - domain.smoothedSlots);
    domain.demandSlots = demandSlots;
    domain.serving = serving;
    long startupMillis = terms.startupMillis() + STARTUP_SLACK_MILLIS;
    boolean isStarted =
        nowNanos - domain.raisedNanos >= TimeUnit.MILLISECONDS.toNanos(startupMillis);
    // Before the startup time has passed, only endpoints that served already can be missing.
    int expected = isStarted ? domain.desired : Math.min(domain.desired, domain.provenServing);
    domain.isLost = serving < LOST_SHARE * expected;
    if (!domain.isLost) {
      domain.provenServing = serving;
    }
  }

  /** Returns the number of endpoints that the service needs in all failure domains. */
  private int totalEndpoints(double slots) {
    double needed =
        Math.max(history.peakSlots(), history.slotsExceededFor(policy.worthwhileShare(slots)));
    return (int) Math.ceil(needed / policy.targetUtilization() / slots);
  }

  /**
   * Divides a number of endpoints between the failure domains, as their targets. A lost one keeps
   * its number, for its return, and what it does not serve is added to the others.
   */
  private void divide(int total) {
    int remaining = total;
    double smoothedSlots = 0;
    int divided = 0;
    for (Domain domain : domains.values()) {
      if (domain.isLost) {
        domain.target = domain.desired;
        remaining -= domain.serving;
      } else {
        smoothedSlots += domain.smoothedSlots;
        divided++;
      }
    }
    int missing = 0;
    for (Domain domain : domains.values()) {
      if (!domain.isLost) {
        double byDemand = smoothedSlots > 0 ? domain.smoothedSlots / smoothedSlots : 0;
        double share = EVEN_WEIGHT / divided + (1 - EVEN_WEIGHT) * byDemand;
        int wanted = (int) Math.ceil(share * Math.max(0, remaining));
        domain.target = clamp(wanted);
        missing += Math.max(0, wanted - domain.target);
      }
    }
    for (Domain domain : domains.values()) {
      if (!domain.isLost) {
        int added = Math.min(missing, terms.max() - domain.target);
        domain.target += added;
        missing -= added;
      }
    }
  }

  /** Raises the number to the target at once, and reduces it by one at intervals. */
  private void follow(Domain domain, long nowNanos) {
    if (domain.target > domain.desired) {
      domain.desired = domain.target;
      domain.raisedNanos = nowNanos;
    }
    domain.desired = Math.min(domain.desired, terms.max());
    int margin = domain.target == terms.min() ? 0 : MARGIN;
    int surplus = domain.desired - domain.target - margin;
    domain.isReducing = surplus >= SURPLUS || (domain.isReducing && surplus > 0);
    if (!domain.isReducing) {
      domain.neededNanos = nowNanos;
      return;
    }
    boolean isReducible =
        nowNanos - domain.neededNanos >= TimeUnit.MILLISECONDS.toNanos(SURPLUS_MILLIS)
            && nowNanos - domain.reducedNanos >= TimeUnit.MILLISECONDS.toNanos(REDUCTION_MILLIS);
    if (isReducible) {
      domain.desired--;
      domain.reducedNanos = nowNanos;
    }
  }

  private int clamp(int endpoints) {
    return Math.max(terms.min(), Math.min(terms.max(), endpoints));
  }
}
