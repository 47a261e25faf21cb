package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.ConfigConflictException;
import org.buckthornferry.config.ConfigException;
import org.buckthornferry.config.PublishResult;
import org.buckthornferry.config.Publisher;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.store.HttpKeyValueStore;
import org.buckthornferry.store.StoreException;

/** The options of commands that change the configuration in the key-value service. */
final class StoreOptions {
  private static final int TIMEOUT_MILLIS = 5_000;

  @Parameter(names = "--store", description = "URL of the key-value service", required = true)
  private String storeUrl;

  /** A change of the configuration. */
  @FunctionalInterface
  interface Change {
    CompletableFuture<PublishResult> apply(Publisher publisher);
  }

  /** Applies a change, prints the revision that is in the store afterwards and returns the code. */
  ExitCode publish(Change change) {
    NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    try {
      HttpKeyValueStore store =
          new HttpKeyValueStore(
              new HttpConnector(eventLoops, TIMEOUT_MILLIS),
              Addresses.ofUrl(storeUrl),
              TIMEOUT_MILLIS);
      Publisher publisher = new Publisher(store, new SplittableRandom(), eventLoops);
      PublishResult result = change.apply(publisher).join();
      System.out.println(
          (result.changed() ? "published revision " : "unchanged, revision ") + result.revision());
      return ExitCode.SUCCESS;
    } catch (CompletionException e) {
      return report(e.getCause());
    } finally {
      eventLoops.shutdownGracefully(0, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static ExitCode report(Throwable failure) {
    System.err.println(failure.getMessage());
    if (failure instanceof ConfigConflictException) {
      return ExitCode.CONFLICT;
    }
    if (failure instanceof StoreException) {
      return StoreException.kindOf(failure) == StoreException.Kind.CONFLICT
          ? ExitCode.CONFLICT
          : ExitCode.UNREACHABLE;
    }
    return failure instanceof ConfigException ? ExitCode.INVALID : ExitCode.FAILED;
  }
}
