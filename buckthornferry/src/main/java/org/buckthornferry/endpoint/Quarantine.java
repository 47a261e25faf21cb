package org.buckthornferry.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.QuarantineNotice;
import org.buckthornferry.peer.QuarantineNotice.Kind;
import org.buckthornferry.util.Checks;
import org.buckthornferry.util.ExpiringTable;
import org.jboss.logging.Logger;

/**
 * Quarantines content that crashes endpoints. Content that was running on an endpoint when it
 * crashed becomes suspect. A suspect runs on a reserved endpoint: the other instances confirm that
 * they run nothing there and send nothing to it. Content is quarantined only when an endpoint
 * crashes while running nothing else, so sound content is never quarantined.
 */
public final class Quarantine implements Controller {
  private static final Logger LOG = Logger.getLogger(Quarantine.class);

  /** The maximum number of hashes that are kept; the oldest are evicted. */
  private static final int MAX_HASHES = 10_000;

  private final String selfId;
  private final long entryTtlNanos;
  private final Blackboard blackboard;
  private final PeerSender sender;
  private final NoticeRetransmitter notices;
  private final ExpiringTable<Verdict> verdicts = new ExpiringTable<>(MAX_HASHES);
  private final Map<String, Map<String, String>> runningContents = new HashMap<>();
  private final Map<String, Isolation> isolations = new TreeMap<>();
  private final Map<String, PeerReservation> reservedByPeers = new HashMap<>();
  private Set<String> knownPeers = Set.of();
  private long lastSession;
  private long lastTickNanos;

  private record PeerReservation(String instanceId, long session, long untilNanos) {}

  /**
   * Creates a quarantine without entries.
   *
   * @param quarantineMillis how long a hash stays suspect or quarantined, in milliseconds
   */
  public Quarantine(
      String selfId, long quarantineMillis, Blackboard blackboard, PeerSender sender) {
    this.selfId = Checks.notEmpty(selfId, "selfId");
    Checks.positive(quarantineMillis, "quarantineMillis");
    this.entryTtlNanos = TimeUnit.MILLISECONDS.toNanos(quarantineMillis);
    this.blackboard = Checks.notNull(blackboard, "blackboard");
    this.sender = Checks.notNull(sender, "sender");
    this.notices = new NoticeRetransmitter(selfId, blackboard, sender);
  }

  /** Returns the verdict on a content hash. */
  public Verdict verdict(String contentHash, long nowNanos) {
    return verdicts.get(contentHash, nowNanos).orElse(Verdict.CLEAR);
  }

  /** Records the start of a request of this instance. */
  public void onStarted(String endpointId, String requestId, String contentHash) {
    runningContents.computeIfAbsent(endpointId, id -> new HashMap<>()).put(requestId, contentHash);
  }

  /** Records the end of a request of this instance without a crash of the endpoint. */
  public void onFinished(String endpointId, String requestId, boolean success, long nowNanos) {
    Map<String, String> requests = runningContents.getOrDefault(endpointId, Map.of());
    String contentHash = requests.get(requestId);
    if (contentHash == null) {
      return;
    }
    requests.remove(requestId);
    if (success && verdict(contentHash, nowNanos) == Verdict.SUSPECT) {
      verdicts.remove(contentHash);
      LOG.infof("quarantine.cleared hash=%s", contentHash);
      broadcast(Kind.CLEARED, contentHash, 0, nowNanos);
    }
    endIsolation(contentHash, nowNanos);
  }

  /** Handles the exit of an endpoint's process, which ends every request that ran there. */
  public void onCrash(String endpointId, long nowNanos) {
    Map<String, String> requests = runningContents.remove(endpointId);
    if (requests == null) {
      return;
    }
    Set<String> contents = new TreeSet<>(requests.values());
    for (String contentHash : contents) {
      boolean isCrashCause =
          contents.size() == 1
              && requests.size() == 1
              && ranExclusively(contentHash, endpointId, nowNanos);
      put(
          contentHash,
          isCrashCause ? Verdict.QUARANTINED : Verdict.SUSPECT,
          entryTtlNanos,
          nowNanos);
      if (isCrashCause) {
        LOG.warnf("quarantine.marked hash=%s endpoint=%s", contentHash, endpointId);
      } else {
        LOG.debugf("quarantine.suspected hash=%s endpoint=%s", contentHash, endpointId);
      }
      Kind kind = isCrashCause ? Kind.QUARANTINED : Kind.SUSPECT;
      broadcast(kind, contentHash, TimeUnit.NANOSECONDS.toMillis(entryTtlNanos), nowNanos);
      endIsolation(contentHash, nowNanos);
    }
  }

  /** Starts to reserve an endpoint for a suspect, unless it has a reservation already. */
  public void isolate(String contentHash, String endpointId, long nowNanos) {
    isolations.computeIfAbsent(
        contentHash, hash -> new Isolation(endpointId, ++lastSession, nowNanos));
    renewIsolations(nowNanos);
  }

  /** Returns the endpoint that is being reserved for a suspect, or empty. */
  public Optional<String> isolatedEndpoint(String contentHash) {
    return Optional.ofNullable(isolations.get(contentHash)).map(isolation -> isolation.endpointId);
  }

  /** Returns whether nothing runs on the endpoint reserved for the suspect, at any instance. */
  public boolean hasExclusiveEndpoint(String contentHash, long nowNanos) {
    Isolation isolation = isolations.get(contentHash);
    return isolation != null
        && runningContents.getOrDefault(isolation.endpointId, Map.of()).isEmpty()
        && isolation.isConfirmed(peers(), nowNanos);
  }

  /** Releases the endpoint that is reserved for a suspect. */
  public void endIsolation(String contentHash, long nowNanos) {
    Isolation isolation = isolations.remove(contentHash);
    if (isolation != null) {
      QuarantineNotice notice =
          new QuarantineNotice(
              Kind.ISOLATE_END, contentHash, isolation.endpointId, 0, 0, isolation.session);
      notices.broadcast(notice, nowNanos);
    }
  }

  /** Returns whether an endpoint is reserved for a suspect, by any instance. */
  public boolean isReserved(String endpointId, long nowNanos) {
    PeerReservation reserved = reservedByPeers.get(endpointId);
    if (reserved != null && reserved.untilNanos - nowNanos > 0) {
      return true;
    }
    return isolations.values().stream().anyMatch(own -> own.endpointId.equals(endpointId));
  }

  /** Returns the endpoints that are reserved for suspects, by any instance. */
  public Set<String> reservedEndpoints(long nowNanos) {
    Set<String> ids = new HashSet<>();
    reservedByPeers.forEach(
        (endpointId, reserved) -> {
          if (reserved.untilNanos - nowNanos > 0) {
            ids.add(endpointId);
          }
        });
    isolations.values().forEach(own -> ids.add(own.endpointId));
    return ids;
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (!(message instanceof QuarantineNotice notice)) {
      return;
    }
    long noticeNanos =
        TimeUnit.MILLISECONDS.toNanos(
            Math.min(notice.validMillis(), TimeUnit.NANOSECONDS.toMillis(entryTtlNanos)));
    switch (notice.kind()) {
      case SUSPECT -> {
        if (verdict(notice.contentHash(), nowNanos) == Verdict.CLEAR) {
          put(notice.contentHash(), Verdict.SUSPECT, noticeNanos, nowNanos);
        }
      }
      case QUARANTINED -> {
        put(notice.contentHash(), Verdict.QUARANTINED, noticeNanos, nowNanos);
        endUnusedIsolation(notice.contentHash(), nowNanos);
      }
      case CLEARED -> {
        if (verdict(notice.contentHash(), nowNanos) == Verdict.SUSPECT) {
          verdicts.remove(notice.contentHash());
          endUnusedIsolation(notice.contentHash(), nowNanos);
        }
      }
      case ISOLATE -> onIsolate(fromInstanceId, notice, nowNanos);
      case ISOLATE_ACK -> {
        Isolation isolation = isolations.get(notice.contentHash());
        if (isolation != null && isolation.session == notice.session()) {
          isolation.onAck(fromInstanceId, notice.running(), nowNanos);
        }
      }
      default -> {
        PeerReservation reserved = reservedByPeers.get(notice.endpointId());
        if (reserved != null
            && reserved.instanceId.equals(fromInstanceId)
            && reserved.session == notice.session()) {
          reservedByPeers.remove(notice.endpointId());
        }
      }
    }
  }

  @Override
  public void onTick(long nowNanos) {
    lastTickNanos = nowNanos;
    notices.onTick(nowNanos);
    renewIsolations(nowNanos);
    reservedByPeers.values().removeIf(reserved -> reserved.untilNanos - nowNanos <= 0);
    sendVerdictsToNewPeers(nowNanos);
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new TreeMap<>();
    verdicts.forEach(lastTickNanos, (hash, verdict) -> dump.put(hash, verdict.name()));
    return Map.of("quarantine", dump);
  }

  private boolean ranExclusively(String contentHash, String endpointId, long nowNanos) {
    Isolation isolation = isolations.get(contentHash);
    return isolation != null
        && isolation.endpointId.equals(endpointId)
        && isolation.isConfirmed(peers(), nowNanos);
  }

  /**
   * Answers a reservation request. When two instances request the same endpoint, the one with the
   * greater id yields, unless all its peers have confirmed its reservation already.
   */
  private void onIsolate(String from, QuarantineNotice notice, long nowNanos) {
    PeerReservation other = reservedByPeers.get(notice.endpointId());
    boolean taken =
        other != null && !other.instanceId.equals(from) && other.untilNanos - nowNanos > 0;
    boolean stale =
        other != null && other.instanceId.equals(from) && other.session > notice.session();
    if (taken || stale || !yieldsTo(from, notice.endpointId(), nowNanos)) {
      return;
    }
    reservedByPeers.put(
        notice.endpointId(),
        new PeerReservation(from, notice.session(), nowNanos + Isolation.RESERVATION_NANOS));
    int count = runningContents.getOrDefault(notice.endpointId(), Map.of()).size();
    sender.send(
        from,
        new QuarantineNotice(
            Kind.ISOLATE_ACK,
            notice.contentHash(),
            notice.endpointId(),
            0,
            count,
            notice.session()));
  }

  private void endUnusedIsolation(String contentHash, long nowNanos) {
    Isolation isolation = isolations.get(contentHash);
    if (isolation != null
        && !runningContents
            .getOrDefault(isolation.endpointId, Map.of())
            .containsValue(contentHash)) {
      endIsolation(contentHash, nowNanos);
    }
  }

  private boolean yieldsTo(String from, String endpointId, long nowNanos) {
    for (Map.Entry<String, Isolation> own : new ArrayList<>(isolations.entrySet())) {
      if (own.getValue().endpointId.equals(endpointId)) {
        if (selfId.compareTo(from) < 0 || own.getValue().isConfirmed(peers(), nowNanos)) {
          return false;
        }
        endIsolation(own.getKey(), nowNanos);
      }
    }
    return true;
  }

  private void renewIsolations(long nowNanos) {
    long validMillis = TimeUnit.NANOSECONDS.toMillis(Isolation.RESERVATION_NANOS);
    isolations.forEach(
        (hash, isolation) -> {
          if (isolation.renewWhenDue(nowNanos)) {
            QuarantineNotice notice =
                new QuarantineNotice(
                    Kind.ISOLATE, hash, isolation.endpointId, validMillis, 0, isolation.session);
            peers().forEach(peer -> sender.send(peer, notice));
          }
        });
  }

  private void sendVerdictsToNewPeers(long nowNanos) {
    Set<String> peers = peers();
    if (peers.equals(knownPeers)) {
      return;
    }
    for (String peer : peers) {
      if (!knownPeers.contains(peer)) {
        verdicts.forEach(nowNanos, (hash, verdict) -> sendVerdict(peer, hash, verdict, nowNanos));
      }
    }
    knownPeers = peers;
  }

  private void sendVerdict(String peer, String hash, Verdict verdict, long nowNanos) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(verdicts.remainingNanos(hash, nowNanos));
    if (remainingMillis > 0) {
      Kind kind = verdict == Verdict.QUARANTINED ? Kind.QUARANTINED : Kind.SUSPECT;
      sender.send(peer, new QuarantineNotice(kind, hash, "", remainingMillis, 0, 0));
    }
  }

  private void put(String contentHash, Verdict verdict, long forNanos, long nowNanos) {
    if (verdict(contentHash, nowNanos) == Verdict.QUARANTINED && verdict == Verdict.SUSPECT) {
      return;
    }
    verdicts.put(contentHash, verdict, nowNanos + forNanos);
  }

  private void broadcast(Kind kind, String contentHash, long validMillis, long nowNanos) {
    notices.broadcast(new QuarantineNotice(kind, contentHash, "", validMillis, 0, 0), nowNanos);
  }

  private Set<String> peers() {
    Set<String> ids = new TreeSet<>();
    for (Member member : blackboard.read(MembershipView.ENTRY).running()) {
      if (!member.instanceId().equals(selfId)) {
        ids.add(member.instanceId());
      }
    }
    return ids;
  }
}
