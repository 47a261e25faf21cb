package org.buckthornferry.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.buckthornferry.http.Addresses;

/**
 * Registration of an instance, as stored for the other instances.
 *
 * @param peerAddress address on which the instance listens for its peers
 * @param forwardAddress address on which the instance takes requests to endpoints from peers that
 *     are cut off from these; empty if it takes none
 * @param failureDomain failure domain of the instance
 * @param processorShare processor time that the instance may use, in cores
 */
record InstanceRecord(
    InetSocketAddress peerAddress,
    Optional<InetSocketAddress> forwardAddress,
    String failureDomain,
    double processorShare) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PEER_ADDRESS = "peerAddress";
  private static final String FORWARD_ADDRESS = "forwardAddress";
  private static final String FAILURE_DOMAIN = "failureDomain";
  private static final String PROCESSOR_SHARE = "processorShare";

  byte[] encode() {
    ObjectNode node =
        JsonNodeFactory.instance
            .objectNode()
            .put(PEER_ADDRESS, Addresses.format(peerAddress))
            .put(FAILURE_DOMAIN, failureDomain)
            .put(PROCESSOR_SHARE, processorShare);
    forwardAddress.ifPresent(address -> node.put(FORWARD_ADDRESS, Addresses.format(address)));
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Decodes a stored registration; fails if {@link #encode} did not write it. */
  static InstanceRecord decode(byte[] value) throws IOException {
    JsonNode node = MAPPER.readTree(value);
    try {
      return new InstanceRecord(
          Addresses.parse(node.path(PEER_ADDRESS).asText()),
          Optional.ofNullable(node.get(FORWARD_ADDRESS))
              .map(address -> Addresses.parse(address.asText())),
          node.path(FAILURE_DOMAIN).asText(),
          node.path(PROCESSOR_SHARE).asDouble(FleetView.DEFAULT_PROCESSOR_SHARE));
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
