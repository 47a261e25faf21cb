package org.buckthornferry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.jboss.logging.Logger;

/**
 * Netty handler of one end of a connection: sends its own HELLO, verifies the identity in the
 * peer's HELLO, then delivers messages to the receiver. The connecting end receives no message
 * after the HELLO.
 */
final class PeerHandler extends SimpleChannelInboundHandler<PeerMessage> {
  private static final Logger LOG = Logger.getLogger(PeerHandler.class);

  /**
   * The timeout for the HELLO of the peer. Covers a handshake over a slow link; a silent connection
   * must not take one of the limited connections for long.
   */
  static final long HELLO_TIMEOUT_MILLIS = 3_000;

  private final Hello self;
  private final String expectedPeerId;
  private final PeerMetrics metrics;
  private final Runnable onIdentified;
  private final BiConsumer<String, PeerMessage> receiver;

  private String peerId;
  private boolean closing;

  /**
   * Creates the handler of one connection.
   *
   * @param expectedPeerId the instance that this end connected to, or null on the accepting end
   * @param onIdentified called once after the identity of the peer is verified
   */
  PeerHandler(
      Hello self,
      String expectedPeerId,
      PeerMetrics metrics,
      Runnable onIdentified,
      BiConsumer<String, PeerMessage> receiver) {
    this.self = self;
    this.expectedPeerId = expectedPeerId;
    this.metrics = metrics;
    this.onIdentified = onIdentified;
    this.receiver = receiver;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    var unusedWrite =
        context.writeAndFlush(frame(context, PeerCodec.encode(self)), context.voidPromise());
    var unused =
        context
            .executor()
            .schedule(
                () -> {
                  if (peerId == null && context.channel().isOpen()) {
                    close(context, "no HELLO within " + HELLO_TIMEOUT_MILLIS + " ms");
                  }
                },
                HELLO_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  /** Returns a frame with its length prefix. */
  static ByteBuf frame(ChannelHandlerContext context, byte[] payload) {
    return frame(context.alloc().buffer(FrameDecoder.PREFIX_BYTES + payload.length), payload);
  }

  static ByteBuf frame(ByteBuf buffer, byte[] payload) {
    return buffer.writeInt(payload.length).writeBytes(payload);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    if (closing) {
      return;
    }
    if (peerId == null) {
      verifyIdentity(context, message);
    } else if (message instanceof Hello) {
      throw new PeerProtocolException("duplicate HELLO");
    } else if (expectedPeerId != null) {
      throw new PeerProtocolException("unexpected " + message.type() + " from the accepting end");
    } else {
      receiver.accept(peerId, message);
    }
  }

  private void verifyIdentity(ChannelHandlerContext context, PeerMessage message) {
    if (!(message instanceof Hello hello)) {
      throw new PeerProtocolException("first message is " + message.type() + ", not HELLO");
    }
    if (expectedPeerId != null && !hello.instanceId().equals(expectedPeerId)) {
      throw new PeerProtocolException(
          "HELLO names " + hello.instanceId() + ", expected " + expectedPeerId);
    }
    if (hello.instanceId().equals(self.instanceId())) {
      throw new PeerProtocolException("HELLO names this instance");
    }
    checkCertificate(context, hello.instanceId());
    peerId = hello.instanceId();
    metrics.connectionsOpened.inc();
    onIdentified.run();
  }

  private static void checkCertificate(ChannelHandlerContext context, String instanceId) {
    SslHandler tls = context.pipeline().get(SslHandler.class);
    if (tls == null) {
      return;
    }
    try {
      Certificate[] chain = tls.engine().getSession().getPeerCertificates();
      if (chain.length == 0
          || !(chain[0] instanceof X509Certificate certificate)
          || !CertificateIdentity.isIssuedTo(certificate, instanceId)) {
        throw new PeerProtocolException("certificate was not issued to " + instanceId);
      }
    } catch (SSLPeerUnverifiedException e) {
      throw new PeerProtocolException("no certificate: " + e.getMessage());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof IdleStateEvent) {
      closing = true;
      var unused = context.close();
      return;
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Throwable reason =
        cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
    close(context, reason.toString());
  }

  private void close(ChannelHandlerContext context, String reason) {
    if (closing) {
      return;
    }
    closing = true;
    metrics.protocolErrors.inc();
    LOG.warnf(
        "peer.connection.closed remote=%s peer=%s reason=%s",
        context.channel().remoteAddress(), peerId, reason);
    var unused = context.close();
  }
}
