package org.buckthornferry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Decodes length-prefixed frames. The length, protocol version and type are checked before the rest
 * of a frame is buffered.
 */
final class FrameDecoder extends ByteToMessageDecoder {
  /** The size of the length prefix of a frame, in bytes. */
  static final int PREFIX_BYTES = 4;

  /** The largest first frame, in bytes; its sender is not authenticated yet. */
  static final int MAX_HELLO_BYTES = 1_024;

  private static final int HEADER_BYTES = 2;

  private final PeerMetrics metrics;
  private boolean firstFrame = true;

  FrameDecoder(PeerMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < PREFIX_BYTES) {
      return;
    }
    int start = in.readerIndex();
    int length = in.getInt(start);
    checkLength(length);
    if (in.readableBytes() < PREFIX_BYTES + HEADER_BYTES) {
      return;
    }
    checkType(length, in.getByte(start + PREFIX_BYTES), in.getByte(start + PREFIX_BYTES + 1));
    if (in.readableBytes() < PREFIX_BYTES + length) {
      return;
    }
    byte[] payload = new byte[length];
    in.skipBytes(PREFIX_BYTES).readBytes(payload);
    out.add(PeerCodec.decode(payload));
    firstFrame = false;
    metrics.messagesReceived.inc();
    metrics.bytesReceived.inc(PREFIX_BYTES + length);
  }

  private void checkLength(int length) {
    int maxBytes = firstFrame ? MAX_HELLO_BYTES : PeerCodec.MAX_CONFIG_FRAME_BYTES;
    if (length < HEADER_BYTES || length > maxBytes) {
      throw new PeerProtocolException(
          "frame of " + length + " bytes is not in " + HEADER_BYTES + ".." + maxBytes);
    }
  }

  /**
   * Checks the header; MessagePack encodes the small integers version and type in one byte each.
   */
  private static void checkType(int length, byte version, byte type) {
    if (version != PeerCodec.PROTOCOL_VERSION) {
      throw new PeerProtocolException("unsupported protocol version " + version);
    }
    if (length > maxBytes(MessageType.ofCode(type))) {
      throw new PeerProtocolException(
          "frame of " + length + " bytes is too large for " + MessageType.ofCode(type));
    }
  }

  /** Returns the largest frame of a type, in bytes without the length prefix. */
  static int maxBytes(MessageType type) {
    return type == MessageType.CONFIG_REPLY
        ? PeerCodec.MAX_CONFIG_FRAME_BYTES
        : PeerCodec.MAX_FRAME_BYTES;
  }
}
