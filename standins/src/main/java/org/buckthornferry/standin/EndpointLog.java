package org.buckthornferry.standin;

import java.util.List;

/**
 * The bounded request log of an endpoint stand-in, for the checks of histories.
 *
 * @param coldBound the requests above which a cold endpoint fails; 0 when it has no bound
 * @param leavingSinceMillis the wall-clock time since when the endpoint leaves; 0 when it stays
 * @param dropped the entries that the bound of the log removed
 * @param entries the requests in the order of their arrival
 */
public record EndpointLog(
    String endpointId,
    String failureDomain,
    int coldBound,
    long leavingSinceMillis,
    long dropped,
    List<RunLogEntry> entries) {
  /** Copies the list. */
  public EndpointLog {
    entries = List.copyOf(entries);
  }
}
