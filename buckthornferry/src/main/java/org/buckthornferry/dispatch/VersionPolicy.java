package org.buckthornferry.dispatch;

/** Decides which versions of a service get requests, and which requests go to a canary version. */
public interface VersionPolicy {
  /** Permits all versions; none is a canary. */
  VersionPolicy ANY =
      new VersionPolicy() {
        @Override
        public boolean mayUse(String version) {
          return true;
        }

        @Override
        public boolean isCanary(String version) {
          return false;
        }

        @Override
        public boolean wantsCanaryRequest(String routeName) {
          return false;
        }

        @Override
        public void onPlaced(String routeName, String version) {}

        @Override
        public void onWithdrawn(String routeName, String version) {}
      };

  /** Returns whether endpoints of a version may get requests at all. */
  boolean mayUse(String version);

  /** Returns whether a version is a canary, which gets only the requests wanted for its trial. */
  boolean isCanary(String version);

  /** Returns whether the next request of a route should go to the canary version. */
  boolean wantsCanaryRequest(String routeName);

  /** Records that a request was placed on an endpoint of a version. */
  void onPlaced(String routeName, String version);

  /** Records that a placed request was not sent after all. */
  void onWithdrawn(String routeName, String version);
}
