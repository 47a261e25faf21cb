package org.buckthornferry.standin;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
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
  private final EventLoopGroup eventLoops;
  private final ExecutorService portThread;
  private int port;
  private HttpServer server;

  StandInServer(String name, int port, EventLoopGroup eventLoops, StandIn standIn) {
    this.name = name;
    this.port = port;
    this.eventLoops = eventLoops;
    this.standIn = standIn;
    this.portThread =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "port-" + name);
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Starts to listen and returns the bound port. */
  int start() {
    standIn.onListening(listen -> portThread.execute(() -> setListening(listen)));
    standIn.start();
    setListening(true);
    LOG.infof("standin.started name=%s port=%d", name, port);
    return port;
  }

  void stop() {
    portThread.shutdownNow();
    closePort();
    standIn.stop();
  }

  private synchronized void setListening(boolean listen) {
    closePort();
    if (listen) {
      server =
          new HttpServer(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
              HttpLimits.INTERNAL,
              Optional.empty(),
              eventLoops,
              this::handle);
      port = server.start().join();
    }
  }

  private synchronized void closePort() {
    if (server != null) {
      server.stop();
      server = null;
    }
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
