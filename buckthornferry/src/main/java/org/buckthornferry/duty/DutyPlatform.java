package org.buckthornferry.duty;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

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

  /** Orders a number of endpoints of a service in a failure domain. */
  CompletableFuture<DutyReply> orderEndpoints(
      long fencingToken, String serviceName, String failureDomain, int desired);
}
