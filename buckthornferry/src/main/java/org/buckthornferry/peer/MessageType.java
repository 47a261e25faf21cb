package org.buckthornferry.peer;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;

/** The message types and their codes on the wire. */
public enum MessageType {
  HELLO(1, Hello::decode),
  HEARTBEAT(2, Heartbeat::decode),
  MEMBER_UPDATE(3, MemberUpdate::decode),
  CONFIG_REQUEST(4, ConfigRequest::decode),
  CONFIG_REPLY(5, ConfigReply::decode),
  GRANT_REQUEST(10, GrantRequest::decode),
  GRANT(11, Grant::decode),
  GRANT_ACK(12, GrantAck::decode),
  SHARD_OWNERS(13, ShardOwners::decode),
  CLAIM(20, ClaimRequest::decode),
  CLAIM_REPLY(21, ClaimReply::decode),
  CLAIM_UPDATE(22, ClaimUpdate::decode),
  CLAIM_BACKUP(23, ClaimBackup::decode),
  SHED_PROPOSE(30, ShedProposal::decode),
  SHED_ACK(31, ShedAck::decode),
  SHED_LOWER(32, ShedLevelReduction::decode),
  QUARANTINE(33, QuarantineNotice::decode),
  ENDPOINT_STATE(34, EndpointStateNotice::decode),
  VERSION_FAULT(40, VersionFault::decode),
  ROLLOUT_STATE(41, RolloutStateMessage::decode),
  ROLLOUT_REPORT(42, RolloutReport::decode);

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
