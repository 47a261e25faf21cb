package org.buckthornferry.peer;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;

/** The closed set of message types with their codes on the wire. */
public enum MessageType {
  HELLO(1, Hello::decode),
  GRANT_REQUEST(10, GrantRequest::decode),
  GRANT(11, Grant::decode),
  GRANT_ACK(12, GrantAck::decode),
  SHARD_OWNERS(13, ShardOwners::decode);

  private static final MessageType[] BY_CODE = new MessageType[64];

  static {
    for (MessageType type : values()) {
      BY_CODE[type.code] = type;
    }
  }

  private final int code;

  @SuppressWarnings("ImmutableEnumChecker") // Decoders are static method references.
  private final Decoder decoder;

  MessageType(int code, Decoder decoder) {
    this.code = code;
    this.decoder = decoder;
  }

  @FunctionalInterface
  private interface Decoder {
    PeerMessage decode(MessageUnpacker unpacker) throws IOException;
  }

  int code() {
    return code;
  }

  PeerMessage decode(MessageUnpacker unpacker) throws IOException {
    return decoder.decode(unpacker);
  }

  /**
   * Returns the type with the given code.
   *
   * @throws PeerProtocolException when there is none
   */
  static MessageType ofCode(int code) {
    if (code < 0 || code >= BY_CODE.length || BY_CODE[code] == null) {
      throw new PeerProtocolException("unknown message type " + code);
    }
    return BY_CODE[code];
  }
}
