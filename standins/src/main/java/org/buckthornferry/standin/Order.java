package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * An order to an endpoint.
 *
 * @param kind {@code load-version}, {@code change-role} or {@code warm-up}
 * @param version the version to load; needed by {@code load-version}
 * @param role the new role; needed by {@code change-role}
 */
record Order(String kind, String version, String role) {
  Order {
    Checks.check(
        "load-version".equals(kind) || "change-role".equals(kind) || "warm-up".equals(kind),
        "kind must be load-version, change-role or warm-up but was " + kind);
    Checks.check(!"load-version".equals(kind) || version != null, "version must be given");
    Checks.check(!"change-role".equals(kind) || role != null, "role must be given");
  }
}
