package org.buckthornferry.util;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.jboss.logging.Logger;

/** Attaches callbacks to futures without losing the exceptions that the callbacks throw. */
public final class Completions {
  private static final Logger LOG = Logger.getLogger(Completions.class);

  private Completions() {}

  /**
   * Calls {@code callback} with the value or the failure of {@code future}. An exception thrown by
   * the callback is logged.
   */
  public static <T> void onComplete(
      CompletableFuture<T> future, BiConsumer<? super T, Throwable> callback) {
    var unused =
        future.handle(
            (value, failure) -> {
              try {
                callback.accept(value, failure);
              } catch (RuntimeException e) {
                LOG.errorf(e, "completion.callback.failed");
              }
              return null;
            });
  }

  /**
   * Returns a future that completes like the one that {@code next} returns for the value or the
   * failure of {@code future}. It fails when {@code next} throws.
   */
  public static <T, R> CompletableFuture<R> thenOnOutcome(
      CompletableFuture<T> future,
      BiFunction<? super T, Throwable, ? extends CompletableFuture<R>> next) {
    CompletableFuture<R> result = new CompletableFuture<>();
    onComplete(
        future,
        (value, failure) -> {
          try {
            onComplete(next.apply(value, failure), (r, f) -> complete(result, r, f));
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result;
  }

  private static <R> void complete(CompletableFuture<R> result, R value, Throwable failure) {
    if (failure == null) {
      result.complete(value);
    } else {
      result.completeExceptionally(failure);
    }
  }
}
