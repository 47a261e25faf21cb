package reviewkit;

/** Writes the configuration of the small deployment of the cases. */
public final class Config {
  /** The key of the only customer. */
  public static final String KEY = "i9n73hh2b9wu3fexd9dn";

  private Config() {}

  /** Returns a route of the host app.example. */
  public static String route(
      String prefix, String kind, String service, long timeoutMillis, long goalMillis) {
    int maxAttempts = kind.equals("idempotent") ? 2 : 1;
    return route(prefix, kind, service, timeoutMillis, goalMillis, maxAttempts);
  }

  /** Returns a route whose requests may be sent to a number of workers. */
  public static String route(
      String prefix,
      String kind,
      String service,
      long timeoutMillis,
      long goalMillis,
      int maxAttempts) {
    return "{\"name\":\"r%s\",\"host\":\"app.example\",\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,\"latency_goal_ms\":%d,\"priority\":0,\"service\":\"%s\",\"max_attempts\":%d,\"public\":false,\"sticky\":false,\"resumable\":false,\"gap_aim_ms\":500}"
        .formatted(
            prefix.replace("/", ""),
            prefix,
            kind,
            timeoutMillis,
            goalMillis,
            service,
            maxAttempts);
  }

  /** Returns a plain service without reservations. */
  public static String service(String name) {
    return service(name, 0, 0);
  }

  /** Returns a plain service whose workers are cold after a start. */
  public static String service(String name, double warmUpSeconds, double coldPerSecond) {
    return "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":%s,\"cold_per_s\":%s}"
        .formatted(name, warmUpSeconds, coldPerSecond);
  }

  /** Returns a configuration whose customer has an allowance in tokens; 0 for none. */
  public static String config(
      long version, String routes, String services, long ratePerSecond, long burst) {
    return "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"%s\"],\"priority\":0,\"unit\":\"token\",\"plain_tokens\":200,\"rate_per_s\":%d,\"burst\":%d}]}"
        .formatted(version, routes, services, KEY, ratePerSecond, burst);
  }
}
