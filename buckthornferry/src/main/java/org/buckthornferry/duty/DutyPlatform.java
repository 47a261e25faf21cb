package org.buckthornferry.duty;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * The platform's calls for duties. Each call is made once and ends within a bounded time; the
 * futures never fail. The caller reads the token from its {@link DutyHolder} directly before.
 */
public interface DutyPlatform {
  /**
   * Reports the runs of one window.
   *
   * @param windowId the number of whole windows between the start of 1970 and that of the window
   * @param counts the number of runs by customer
   */
  CompletableFuture<DutyReply> reportUsage(
      long fencingToken, long windowId, Map<String, Long> counts);

  /**
   * Reports the runs of one window unless the lease ends before the call is sent.
   *
   * @param maySend whether the token is still valid; asked directly before the call is sent, also
   *     if a connection has to be opened first
   */
  default CompletableFuture<DutyReply> reportUsage(
      long fencingToken, BooleanSupplier maySend, long windowId, Map<String, Long> counts) {
    return maySend.getAsBoolean()
        ? reportUsage(fencingToken, windowId, counts)
        : CompletableFuture.completedFuture(DutyReply.NOT_SENT);
  }

  /** Orders a number of endpoints of a service in a failure domain. */
  CompletableFuture<DutyReply> orderEndpoints(
      long fencingToken, String serviceName, String failureDomain, int desired);

  /**
   * Orders a number of endpoints unless the lease ends before the call is sent.
   *
   * @param maySend whether the token is still valid; asked directly before the call is sent, also
   *     if a connection has to be opened first
   */
  default CompletableFuture<DutyReply> orderEndpoints(
      long fencingToken,
      BooleanSupplier maySend,
      String serviceName,
      String failureDomain,
      int desired) {
    return maySend.getAsBoolean()
        ? orderEndpoints(fencingToken, serviceName, failureDomain, desired)
        : CompletableFuture.completedFuture(DutyReply.NOT_SENT);
  }
}
