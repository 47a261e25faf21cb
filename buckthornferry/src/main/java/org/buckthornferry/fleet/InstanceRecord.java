package org.buckthornferry.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.buckthornferry.http.Addresses;

/**
 * Registration of an instance, as stored for the other instances.
 *
 * @param peerAddress address on which the instance listens for its peers
 * @param failureDomain failure domain of the instance
 */
record InstanceRecord(InetSocketAddress peerAddress, String failureDomain) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PEER_ADDRESS = "peerAddress";
  private static final String FAILURE_DOMAIN = "failureDomain";

  byte[] encode() {
    return JsonNodeFactory.instance
        .objectNode()
        .put(PEER_ADDRESS, peerAddress.getHostString() + ":" + peerAddress.getPort())
        .put(FAILURE_DOMAIN, failureDomain)
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Decodes a stored registration; fails if {@link #encode} did not write it. */
  static InstanceRecord decode(byte[] value) throws IOException {
    JsonNode node = MAPPER.readTree(value);
    try {
      return new InstanceRecord(
          Addresses.parse(node.path(PEER_ADDRESS).asText()), node.path(FAILURE_DOMAIN).asText());
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
