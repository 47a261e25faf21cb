package org.buckthornferry.peer;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages as MessagePack: protocol version, type code, fields. */
public final class PeerCodec {
  /** The protocol version; frames with another version are rejected. */
  public static final int PROTOCOL_VERSION = 1;

  /** The largest payload of a frame, in bytes, except for a configuration reply. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  /** The largest payload of a configuration reply, in bytes. */
  public static final int MAX_CONFIG_FRAME_BYTES = 2 << 20;

  private PeerCodec() {}

  /** Returns the payload of a frame that carries {@code message}. */
  public static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(PROTOCOL_VERSION).packInt(message.type().code());
      message.encode(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /**
   * Returns the message in a payload.
   *
   * @throws PeerProtocolException when the payload is not exactly one valid message
   */
  public static PeerMessage decode(byte[] payload) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      int version = unpacker.unpackInt();
      if (version != PROTOCOL_VERSION) {
        throw new PeerProtocolException("unsupported protocol version " + version);
      }
      PeerMessage message = MessageType.ofCode(unpacker.unpackInt()).decode(unpacker);
      if (unpacker.hasNext()) {
        throw new PeerProtocolException("trailing bytes after " + message.type());
      }
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new PeerProtocolException("malformed message: " + e.getMessage());
    }
  }
}
