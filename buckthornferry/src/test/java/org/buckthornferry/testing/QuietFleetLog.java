package org.buckthornferry.testing;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Switches the log of large fleets off, which would take most of the time of a test. */
public final class QuietFleetLog implements BeforeAllCallback, AfterAllCallback {
  private static final Logger LOG = Logger.getLogger("org.buckthornferry.fleet");

  @Override
  public void beforeAll(ExtensionContext context) {
    LOG.setLevel(Level.OFF);
  }

  @Override
  public void afterAll(ExtensionContext context) {
    LOG.setLevel(null);
  }
}
