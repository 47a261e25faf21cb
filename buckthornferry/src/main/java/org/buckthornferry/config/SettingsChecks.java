package org.buckthornferry.config;

import io.netty.util.NetUtil;
import java.util.List;

/** Checks the constraints on settings that the JSON schema cannot express. */
final class SettingsChecks {
  private static final int MAX_PORT = 65_535;

  private final String file;
  private final List<ConfigProblem> problems;

  private SettingsChecks(String file, List<ConfigProblem> problems) {
    this.file = file;
    this.problems = problems;
  }

  static void check(String file, Settings settings, List<ConfigProblem> problems) {
    SettingsChecks checks = new SettingsChecks(file, problems);
    checks.checkAddresses(settings);
    checks.checkPlaintext(settings);
    checks.checkTimings(settings.timings());
    checks.checkLimits(settings.limits());
  }

  /** Returns whether an address names a valid IP address and port. */
  static boolean isAddress(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return hasIpHost(address, colon) && port >= 1 && port <= MAX_PORT;
  }

  private static boolean hasIpHost(String address, int colon) {
    return address.startsWith("[")
        ? NetUtil.isValidIpV6Address(address.substring(1, colon - 1))
        : NetUtil.isValidIpV4Address(address.substring(0, colon));
  }

  private void checkAddresses(Settings settings) {
    List<String> names = List.of("callerAddress", "operatorAddress", "peerAddress");
    List<String> addresses =
        List.of(settings.callerAddress(), settings.operatorAddress(), settings.peerAddress());
    for (int i = 0; i < names.size(); i++) {
      if (!isAddress(addresses.get(i))) {
        addProblem(names.get(i), addresses.get(i), "an IP address and a port from 1 to 65535");
      }
      for (int j = 0; j < i; j++) {
        if (addresses.get(i).equals(addresses.get(j))) {
          addProblem(
              names.get(i), addresses.get(i), "an address other than that of " + names.get(j));
        }
      }
    }
  }

  private void checkPlaintext(Settings settings) {
    if (settings.allowPlaintext()) {
      return;
    }
    if (settings.callerTls().isEmpty() && !isLoopback(settings.callerAddress())) {
      addProblem(
          "callerAddress",
          settings.callerAddress(),
          "a loopback address, or callerTls, or allowPlaintext true");
    }
    if (settings.peerTls().isEmpty() && !isLoopback(settings.peerAddress())) {
      addProblem(
          "peerAddress",
          settings.peerAddress(),
          "a loopback address, or peerTls, or allowPlaintext true");
    }
  }

  private static boolean isLoopback(String address) {
    return address.startsWith("127.") || address.startsWith("[::1]");
  }

  private void checkTimings(Settings.Timings timings) {
    requireBelow(
        "heartbeatMillis", timings.heartbeatMillis(), "suspectMillis", timings.suspectMillis());
    requireBelow("suspectMillis", timings.suspectMillis(), "deadMillis", timings.deadMillis());
    requireBelow(
        "leaseRenewMillis", timings.leaseRenewMillis(), "leaseTtlMillis", timings.leaseTtlMillis());
    requireBelow(
        "grantRequestMillis",
        timings.grantRequestMillis(),
        "grantValidMillis",
        timings.grantValidMillis());
    requireBelow(
        "grantValidMillis",
        timings.grantValidMillis(),
        "fallbackValidMillis",
        timings.fallbackValidMillis());
  }

  private void requireBelow(String lower, long lowerMillis, String upper, long upperMillis) {
    if (lowerMillis >= upperMillis) {
      addProblem(
          "timings." + lower, String.valueOf(lowerMillis), "below " + upper + " = " + upperMillis);
    }
  }

  private void checkLimits(Settings.Limits limits) {
    if (limits.maxBodyBytes() > limits.maxQueueBytes()) {
      addProblem(
          "limits.maxBodyBytes",
          String.valueOf(limits.maxBodyBytes()),
          "at most maxQueueBytes = " + limits.maxQueueBytes());
    }
  }

  private void addProblem(String property, String value, String allowed) {
    problems.add(new ConfigProblem(file, "$." + property, value, allowed));
  }
}
