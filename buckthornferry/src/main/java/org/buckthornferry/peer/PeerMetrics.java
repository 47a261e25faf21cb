package org.buckthornferry.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the connections between instances. Byte counts include the length prefix. */
final class PeerMetrics {
  final Counter messagesSent;
  final Counter bytesSent;
  final Counter messagesReceived;
  final Counter bytesReceived;
  final Counter messagesDropped;
  final Counter connectionsOpened;
  final Counter connectionsFailed;
  final Counter protocolErrors;

  PeerMetrics(MetricRegistry registry) {
    messagesSent = registry.counter("peer.messages.sent");
    bytesSent = registry.counter("peer.bytes.sent");
    messagesReceived = registry.counter("peer.messages.received");
    bytesReceived = registry.counter("peer.bytes.received");
    messagesDropped = registry.counter("peer.messages.dropped");
    connectionsOpened = registry.counter("peer.connections.opened");
    connectionsFailed = registry.counter("peer.connections.failed");
    protocolErrors = registry.counter("peer.protocol.errors");
  }
}
