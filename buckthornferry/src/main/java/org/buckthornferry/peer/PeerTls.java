package org.buckthornferry.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import javax.net.ssl.SSLException;
import org.buckthornferry.util.Checks;

/**
 * The PEM files for mutual TLS between instances. The certificate names the instance id as common
 * name or as DNS name.
 *
 * @param trustFile the certificates that sign those of the other instances
 */
public record PeerTls(Path certificateFile, Path keyFile, Path trustFile) {
  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  /** Checks that the files are named. */
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
      throw new IllegalArgumentException("peer TLS key files are not usable: " + e.getMessage(), e);
    }
  }
}
