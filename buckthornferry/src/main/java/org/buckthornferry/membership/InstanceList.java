package org.buckthornferry.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving instances, which may lag. */
@FunctionalInterface
public interface InstanceList {
  /** Returns the listed instances; the future completes on the control thread. */
  CompletableFuture<List<ListedInstance>> list();
}
