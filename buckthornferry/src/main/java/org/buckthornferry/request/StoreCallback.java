package org.buckthornferry.request;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.jboss.logging.Logger;

/** Attaches completion handlers to store calls. */
final class StoreCallback {
  private static final Logger LOG = Logger.getLogger(StoreCallback.class);

  private StoreCallback() {}

  /** Runs {@code action} when {@code future} completes and logs exceptions that it throws. */
  static <T> void whenDone(CompletableFuture<T> future, BiConsumer<T, Throwable> action) {
    var unused =
        future.handle(
            (result, failure) -> {
              try {
                action.accept(result, failure);
              } catch (RuntimeException e) {
                LOG.error("event=store_callback_failed", e);
              }
              return null;
            });
  }
}
