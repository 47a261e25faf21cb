package org.buckthornferry.standin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Derives a hash and the generated text from a prompt. The text is a function of the prompt and the
 * offset alone, so a caller can check every token that it gets.
 */
public final class PromptText {
  private static final int HASH_BYTES = 8;
  private static final long MIX_FACTOR = 0x9E3779B97F4A7C15L;

  private PromptText() {}

  /** Returns the hash of a whole prompt: the first 16 hexadecimal digits of its SHA-256. */
  public static String hash(String prompt) {
    MessageDigest digest = sha256();
    digest.update(prompt.getBytes(StandardCharsets.UTF_8));
    return shortHex(digest.digest());
  }

  /** Returns the generated text at an offset, for a prompt with the given hash. */
  public static String token(String promptHash, long offset) {
    long mixed = (promptHash.hashCode() + offset) * MIX_FACTOR;
    return " " + Integer.toString((int) (mixed >>> 44), Character.MAX_RADIX);
  }

  private static String shortHex(byte[] digest) {
    return HexFormat.of().formatHex(digest, 0, HASH_BYTES);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
