package org.buckthornferry.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.config.Json;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;
import org.jboss.logging.Logger;

/**
 * Reads and writes the states of the rollouts that this instance leads in the key-value store, with
 * at most one call per second for each service.
 */
final class RolloutStore {
  private static final Logger LOG = Logger.getLogger(RolloutStore.class);
  private static final long CALL_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final KeyValueStore store;
  private final Executor controlThread;
  private final Consumer<RolloutState> onStored;
  private final Map<String, StoredEntry> records = new HashMap<>();

  /** What is known about the stored value of one service. */
  private static final class StoredEntry {
    private boolean read;
    private boolean callPending;
    private boolean called;
    private long lastCallNanos;
    private long version;
    private String storedMoveId = "";
    private long storedSequence;
  }

  /**
   * Creates a store without known states.
   *
   * @param onStored receives every state that is read from the store
   */
  RolloutStore(KeyValueStore store, Executor controlThread, Consumer<RolloutState> onStored) {
    this.store = store;
    this.controlThread = controlThread;
    this.onStored = onStored;
  }

  /** Discards the cached state of a service, because another instance may write it. */
  void forget(String serviceId) {
    records.remove(serviceId);
  }

  /** Returns whether the stored state has been read since this instance became the leader. */
  boolean isRead(String serviceId) {
    return record(serviceId).read;
  }

  /** Returns whether {@code state} is stored. */
  boolean isStored(RolloutState state) {
    StoredEntry record = record(state.serviceId());
    return record.storedMoveId.equals(state.moveId()) && record.storedSequence == state.sequence();
  }

  /** Reads the state of a service unless a call is pending or was made within the last second. */
  void read(String serviceId, long nowNanos) {
    StoredEntry record = record(serviceId);
    if (!beginCall(record, nowNanos)) {
      return;
    }
    store
        .get(key(serviceId))
        .whenCompleteAsync(
            (value, failure) -> {
              record.callPending = false;
              if (failure == null) {
                onRead(record, value);
              }
            },
            controlThread);
  }

  /** Writes a state unless it is stored, a call is pending or was made within the last second. */
  void write(RolloutState state, String writerId, long nowNanos) {
    StoredEntry record = record(state.serviceId());
    if (isStored(state) || !beginCall(record, nowNanos)) {
      return;
    }
    String attemptId = state.moveId() + "#" + state.sequence() + "#" + writerId;
    store
        .compareAndSwap(key(state.serviceId()), record.version, encode(state), attemptId)
        .whenCompleteAsync(
            (version, failure) -> {
              record.callPending = false;
              if (failure == null) {
                record.version = version;
                stored(record, state);
              } else {
                LOG.warnf(
                    "rollout.write.failed service=%s kind=%s",
                    state.serviceId(), StoreException.kindOf(failure));
                record.read = false;
              }
            },
            controlThread);
  }

  private StoredEntry record(String serviceId) {
    return records.computeIfAbsent(serviceId, unused -> new StoredEntry());
  }

  private static boolean beginCall(StoredEntry record, long nowNanos) {
    if (record.callPending
        || (record.called && nowNanos - record.lastCallNanos < CALL_PERIOD_NANOS)) {
      return false;
    }
    record.called = true;
    record.callPending = true;
    record.lastCallNanos = nowNanos;
    return true;
  }

  private void onRead(StoredEntry record, Optional<VersionedValue> value) {
    record.read = true;
    record.version = value.map(VersionedValue::version).orElse(0L);
    if (value.isEmpty()) {
      return;
    }
    try {
      RolloutState state = Json.MAPPER.readValue(value.get().value(), RolloutState.class);
      stored(record, state);
      onStored.accept(state);
    } catch (IOException e) {
      LOG.errorf("rollout.state.unreadable key=%s reason=%s", value.get().key(), e.getMessage());
    }
  }

  private static void stored(StoredEntry record, RolloutState state) {
    record.storedMoveId = state.moveId();
    record.storedSequence = state.sequence();
  }

  private static byte[] encode(RolloutState state) {
    try {
      return Json.MAPPER.writeValueAsBytes(state);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a rollout state as JSON", e);
    }
  }

  private static String key(String serviceId) {
    return "rollout/" + serviceId;
  }
}
