package org.buckthornferry.standin;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpLimits;
import org.buckthornferry.http.HttpServer;
import org.jboss.logging.Logger;

/** Serves one stand-in on one port of the loopback interface, with its admin path for faults. */
final class StandInServer {
  private static final Logger LOG = Logger.getLogger(StandInServer.class);
  private static final String FAULTS_PATH = "/admin/faults";

  private final String name;
  private final StandIn standIn;
  private final HttpServer server;

  StandInServer(String name, int port, EventLoopGroup eventLoops, StandIn standIn) {
    this.name = name;
    this.standIn = standIn;
    this.server =
        new HttpServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            HttpLimits.INTERNAL,
            java.util.Optional.empty(),
            eventLoops,
            this::handle);
  }

  /** Starts to listen and returns the bound port. */
  int start() {
    standIn.start();
    int port = server.start().join();
    LOG.infof("standin.started name=%s port=%d", name, port);
    return port;
  }

  void stop() {
    server.stop();
    standIn.stop();
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().equals(FAULTS_PATH)) {
      handleFaults(exchange);
    } else {
      standIn.handle(exchange);
    }
  }

  private void handleFaults(HttpExchange exchange) {
    if (exchange.method().equals("POST")) {
      try {
        standIn.faults().merge(exchange.body());
        LOG.infof("standin.faults.switched name=%s faults=%s", name, standIn.faults().toJson());
      } catch (IllegalArgumentException e) {
        Replies.error(exchange, 400, e.getMessage());
        return;
      }
    }
    exchange.respondJson(200, standIn.faults().toJson());
  }
}
