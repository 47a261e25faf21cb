package org.buckthornferry.dispatch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Grants the permits for requests to one endpoint with a rate limit, at the instance that
 * coordinates the endpoint.
 *
 * <p>Instances may disagree on which of them coordinates, for example when some of them cannot
 * reach one that the others can. A coordinator therefore grants only the part of the limit that
 * belongs to the instances which have called it recently. As each instance calls one coordinator at
 * a time, all coordinators together stay within the limit. An instance that has just appeared may
 * still be counted elsewhere, so it counts less at first.
 *
 * <p>Permits go to the highest priority first, over all instances, except for a share of them that
 * prevents starvation.
 */
public final class FleetRateLimiter {
  /**
   * The lowest rate that is granted, in requests per second. Only responses show that an endpoint
   * has raised or withdrawn its limit, so a few requests are sent whatever it is.
   */
  public static final double MIN_PER_SECOND = 0.2;

  /** The weight of an instance that has just appeared and may be counted elsewhere too. */
  private static final double NEW_INSTANCE_WEIGHT = 0.4;

  /** The unused permits that are kept, in seconds of the rate, beyond a single one. */
  private static final double BURST_SECONDS = 0.2;

  /** One in this number of permits is granted without regard to priority. */
  private static final int UNPRIORITIZED_PERMIT_INTERVAL = 5;

  /** The longest wait that is returned, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 2_000;

  /** Calls closer together than this share of the time between two permits share one permit. */
  private static final double SLOT_TOLERANCE = 0.75;

  /** How long a permit is kept for an instance that was told when to call again. */
  private static final long CALL_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final TokenBucket bucket;
  private final Map<String, Presence> presences = new HashMap<>();
  private final Map<String, Caller> waiting = new HashMap<>();
  private long granted;
  private long refused;

  /** Creates a limiter that has granted nothing and whose rate starts to accrue now. */
  public FleetRateLimiter(long nowNanos) {
    bucket = new TokenBucket(nowNanos);
  }

  /**
   * What a coordinator may grant.
   *
   * @param perSecond the limit that the endpoint named, in requests per second
   * @param instances the number of instances among which the limit is divided
   * @param presenceMillis how long an instance counts after a call
   */
  public record Terms(double perSecond, int instances, long presenceMillis) {}

  /**
   * The answer to a request for a permit.
   *
   * @param waitMillis 0 if the permit was granted, else when to ask again
   * @param reason why the permit was not granted; {@code RATE_USED} if it was
   */
  public record Decision(long waitMillis, HoldReason reason) {
    /** Returns whether the permit was granted. */
    public boolean isGranted() {
      return waitMillis == 0;
    }
  }

  private record Presence(long firstNanos, long lastNanos) {}

  /** An instance that was told to ask again. */
  private record Caller(Priority priority, long dueNanos) {}

  /** Records a call of an instance. */
  public void onPresent(String instanceId, Terms terms, long nowNanos) {
    Presence known = presences.get(instanceId);
    boolean isNew = known == null || hasExpired(known, terms, nowNanos);
    presences.put(instanceId, new Presence(isNew ? nowNanos : known.firstNanos, nowNanos));
  }

  /** Grants a permit to an instance, or tells it when to ask again. */
  public Decision take(String instanceId, Priority priority, Terms terms, long nowNanos) {
    onPresent(instanceId, terms, nowNanos);
    waiting.remove(instanceId);
    waiting.values().removeIf(caller -> nowNanos - caller.dueNanos > CALL_GRACE_NANOS);
    int higher =
        (int)
            waiting.values().stream()
                .filter(caller -> caller.priority.compareTo(priority) < 0)
                .count();
    double perSecond = grantedPerSecond(terms, nowNanos);
    BucketLimits limits = new BucketLimits(perSecond, 1 + BURST_SECONDS * perSecond);
    boolean ignoresPriority =
        granted % UNPRIORITIZED_PERMIT_INTERVAL == UNPRIORITIZED_PERMIT_INTERVAL - 1;
    boolean isPreceded = higher > 0 && !ignoresPriority;
    long missingMillis = bucket.takeWithDebt(1, isPreceded ? 1 + higher : 1, limits, nowNanos);
    if (missingMillis == 0) {
      granted++;
      return new Decision(0, HoldReason.RATE_USED);
    }
    refused++;
    long dueNanos =
        freeSlotNanos(
            nowNanos + TimeUnit.MILLISECONDS.toNanos(missingMillis),
            TimeUnit.SECONDS.toNanos(1) / perSecond,
            priority);
    long waitMillis =
        Math.min(MAX_WAIT_MILLIS, 1 + TimeUnit.NANOSECONDS.toMillis(dueNanos - nowNanos));
    waiting.put(
        instanceId, new Caller(priority, nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis)));
    return new Decision(waitMillis, isPreceded ? HoldReason.HIGHER_PRIORITY : HoldReason.RATE_USED);
  }

  /**
   * Returns the first time from {@code earliestNanos} on at which a permit accrues that no waiting
   * caller of at least the same priority was told to come back for.
   */
  private long freeSlotNanos(long earliestNanos, double intervalNanos, Priority priority) {
    long[] taken =
        waiting.values().stream()
            .filter(caller -> caller.priority.compareTo(priority) <= 0)
            .mapToLong(Caller::dueNanos)
            .sorted()
            .toArray();
    double slotNanos = earliestNanos;
    for (long takenNanos : taken) {
      if (takenNanos - slotNanos >= SLOT_TOLERANCE * intervalNanos) {
        break;
      }
      if (slotNanos - takenNanos < SLOT_TOLERANCE * intervalNanos) {
        slotNanos = takenNanos + intervalNanos;
      }
    }
    return (long) slotNanos;
  }

  /** Returns the rate that this coordinator grants, in requests per second. */
  public double grantedPerSecond(Terms terms, long nowNanos) {
    double weight = 0;
    for (Iterator<Presence> i = presences.values().iterator(); i.hasNext(); ) {
      Presence presence = i.next();
      if (hasExpired(presence, terms, nowNanos)) {
        i.remove();
        continue;
      }
      boolean isNew =
          nowNanos - presence.firstNanos < TimeUnit.MILLISECONDS.toNanos(terms.presenceMillis);
      weight += isNew ? NEW_INSTANCE_WEIGHT : 1;
    }
    double share = Math.min(1, weight / Math.max(1, terms.instances));
    return share * Math.max(MIN_PER_SECOND, terms.perSecond);
  }

  /** Returns whether an instance counts towards the granted rate. */
  public boolean isPresent(String instanceId) {
    return presences.containsKey(instanceId);
  }

  /** Returns the number of instances that called recently. */
  public int present() {
    return presences.size();
  }

  /** Returns the number of permits granted since the creation. */
  public long granted() {
    return granted;
  }

  /** Returns the number of requests for a permit that were told to wait since the creation. */
  public long refused() {
    return refused;
  }

  private static boolean hasExpired(Presence presence, Terms terms, long nowNanos) {
    return nowNanos - presence.lastNanos > TimeUnit.MILLISECONDS.toNanos(terms.presenceMillis);
  }
}
