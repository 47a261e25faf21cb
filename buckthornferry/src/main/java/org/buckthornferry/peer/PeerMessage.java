package org.buckthornferry.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** A message between two instances. Every implementation is an immutable record. */
public sealed interface PeerMessage
    permits Hello,
        VersionFault,
        RolloutStateMessage,
        RolloutReport,
        Heartbeat,
        MemberUpdate,
        ConfigRequest,
        ConfigReply,
        ShedProposal,
        ShedAck,
        ShedLevelReduction,
        QuarantineNotice,
        EndpointStateNotice,
        ClaimBackup,
        ClaimReply,
        ClaimRequest,
        ClaimUpdate,
        GrantRequest,
        Grant,
        GrantAck,
        ShardOwners {
  /** Returns the type of the message, which determines its encoding. */
  MessageType type();

  /** Writes the fields in wire order, without the type. */
  void encode(MessagePacker packer) throws IOException;
}
