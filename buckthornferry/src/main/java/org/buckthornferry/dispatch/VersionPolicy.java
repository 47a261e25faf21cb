package org.buckthornferry.dispatch;

/** Says which versions of a service get requests. */
public interface VersionPolicy {
  /** No version is on trial. */
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

  /** Returns whether a version gets only those requests that are wanted for its trial. */
  boolean isCanary(String version);

  /** Returns whether the next request of a kind should go to the version on trial. */
  boolean wantsCanaryRequest(String routeName);

  /** A request is on its way to an endpoint of a version. */
  void onPlaced(String routeName, String version);

  /** A request that was placed has not been sent. */
  void onWithdrawn(String routeName, String version);
}
