package org.buckthornferry.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import javax.net.ssl.SSLException;
import org.buckthornferry.util.Checks;

/**
 * The PEM files for mutual TLS between instances. The certificate contains the instance id as its
 * common name or as a DNS name.
 *
 * @param trustFile the certificates that are trusted to sign those of other instances
 */
public record PeerTls(Path certificateFile, Path keyFile, Path trustFile) {
  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  /** Checks that no path is null. */
  public PeerTls {
    Checks.notNull(certificateFile, "certificateFile");
    Checks.notNull(keyFile, "keyFile");
    Checks.notNull(trustFile, "trustFile");
  }

  SslContext serverContext() {
    return build(
        SslContextBuilder.forServer(certificateFile.toFile(), keyFile.toFile())
            .clientAuth(ClientAuth.REQUIRE));
  }

  SslContext clientContext() {
    return build(
        SslContextBuilder.forClient().keyManager(certificateFile.toFile(), keyFile.toFile()));
  }

  private SslContext build(SslContextBuilder builder) {
    try {
      return builder
          .trustManager(trustFile.toFile())
          .sslProvider(SslProvider.JDK)
          .protocols(PROTOCOLS)
          .build();
    } catch (SSLException e) {
      throw new IllegalArgumentException("cannot load the peer TLS files: " + e.getMessage(), e);
    }
  }
}
