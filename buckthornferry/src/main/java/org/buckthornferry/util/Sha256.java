package org.buckthornferry.util;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 hashes. */
public final class Sha256 {
  private Sha256() {}

  /** Returns the hash of the UTF-8 encoding of {@code text}, in lower-case hexadecimal. */
  public static String hex(String text) {
    return HexFormat.of().formatHex(digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the 32-byte hash of {@code content}. */
  public static byte[] digest(byte[] content) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(content);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
