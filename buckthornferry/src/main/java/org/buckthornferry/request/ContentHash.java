package org.buckthornferry.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The first 128 bits of the SHA-256 hash of a request's route and body. Used to detect the reuse of
 * an idempotency key with different content and to identify requests that crash endpoints.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record ContentHash(long high, long low) {
  /** Returns the hash of a request; a zero byte separates the route and the body. */
  public static ContentHash of(String routePath, byte[] body) {
    MessageDigest digest = sha256();
    digest.update(routePath.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    ByteBuffer hash = ByteBuffer.wrap(digest.digest(body));
    return new ContentHash(hash.getLong(), hash.getLong());
  }

  /** Returns the hash as 32 hexadecimal digits. */
  public String hex() {
    return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
