package org.buckthornferry.routing;

/** Limits the requests that go to a version during its rollout. Used on the control thread. */
public interface VersionGate {
  /** Allows every version. */
  VersionGate OPEN =
      new VersionGate() {
        @Override
        public boolean mayDispatch(String serviceId, String version, long nowNanos) {
          return true;
        }

        @Override
        public void onDispatched(
            String requestId, String serviceId, String version, String routePath, long nowNanos) {}

        @Override
        public void onCompleted(
            String requestId,
            String serviceId,
            String version,
            RequestOutcome outcome,
            long nowNanos) {}
      };

  /** Returns whether the version is within its traffic share and has no known fault. */
  boolean mayDispatch(String serviceId, String version, long nowNanos);

  /** Counts a dispatched request. */
  void onDispatched(
      String requestId, String serviceId, String version, String routePath, long nowNanos);

  /** Reports how a dispatched request ended. */
  void onCompleted(
      String requestId, String serviceId, String version, RequestOutcome outcome, long nowNanos);
}
