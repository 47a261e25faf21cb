package org.buckthornferry.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of running and leaving instances, which may be out of date. */
@FunctionalInterface
public interface InstanceList {
  /** Returns the listed instances; the future completes on the control thread. */
  CompletableFuture<List<ListedInstance>> list();
}
