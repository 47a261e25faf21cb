package org.buckthornferry.testing;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Switches the log of large fleets off, which would take most of the time of a test. */
public final class QuietFleetLog implements BeforeAllCallback, AfterAllCallback {
  private static final List<Logger> LOGS =
      List.of(
          Logger.getLogger("org.buckthornferry.fleet"),
          Logger.getLogger("org.buckthornferry.fleetqueue"));

  @Override
  public void beforeAll(ExtensionContext context) {
    LOGS.forEach(log -> log.setLevel(Level.OFF));
  }

  @Override
  public void afterAll(ExtensionContext context) {
    LOGS.forEach(log -> log.setLevel(null));
  }
}
