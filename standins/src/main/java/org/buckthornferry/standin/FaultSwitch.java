package org.buckthornferry.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.UnaryOperator;
import org.buckthornferry.config.Json;

/** Holds the faults of one stand-in as an immutable record; safe for concurrent use. */
final class FaultSwitch<T extends Record> {
  private final Class<T> type;
  private volatile T current;
  private volatile Runnable changeListener = () -> {};

  FaultSwitch(Class<T> type, T initial) {
    this.type = type;
    this.current = initial;
  }

  T current() {
    return current;
  }

  /** Registers the action that runs after each {@link #merge}. */
  void onMerge(Runnable listener) {
    changeListener = listener;
  }

  synchronized void update(UnaryOperator<T> change) {
    current = change.apply(current);
  }

  /**
   * Replaces the properties that the JSON object names and leaves the others as they are.
   *
   * @throws IllegalArgumentException when the object names an unknown property or a wrong value
   */
  void merge(byte[] json) {
    synchronized (this) {
      ObjectNode merged = Json.MAPPER.valueToTree(current);
      try {
        JsonNode patch = Json.MAPPER.readTree(json);
        if (!(patch instanceof ObjectNode object)) {
          throw new IllegalArgumentException("faults must be a JSON object");
        }
        mergeInto(merged, object);
        current = Json.MAPPER.treeToValue(merged, type);
      } catch (IOException e) {
        throw new IllegalArgumentException("invalid faults: " + e.getMessage(), e);
      }
    }
    changeListener.run();
  }

  private static void mergeInto(ObjectNode target, ObjectNode patch) {
    patch
        .properties()
        .forEach(
            property -> {
              JsonNode old = target.get(property.getKey());
              if (old instanceof ObjectNode oldObject
                  && property.getValue() instanceof ObjectNode newObject) {
                mergeInto(oldObject, newObject);
              } else {
                target.set(property.getKey(), property.getValue());
              }
            });
  }

  String toJson() {
    try {
      return Json.MAPPER.writeValueAsString(current);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
