package org.buckthornferry.measure;

import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.endpoint.LoadReport;
import org.buckthornferry.routing.RequestOutcome;

/** A scheduler under measurement, with all its instances. */
interface Policy {
  /** Takes a request at an instance. */
  void submit(int instance, Work work);

  /** Handles the end of a dispatched request. */
  void completed(Work work, RequestOutcome outcome);

  /** Handles a load report; {@code lagNanos} is its age. */
  default void onReport(LoadReport report) {}

  /** Takes over a configuration revision. */
  default void configure(ConfigSnapshot snapshot) {}

  /** Called every tick. */
  default void onTick() {}
}
