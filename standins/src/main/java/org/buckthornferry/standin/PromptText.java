package org.buckthornferry.standin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Derives hashes and generated text from a prompt. The text is a function of the prompt and the
 * offset alone, so a caller can check every token that it gets.
 */
public final class PromptText {
  /** The characters of a prompt that one prefix block covers. */
  public static final int BLOCK_CHARS = 256;

  private static final int HASH_BYTES = 8;
  private static final long MIX_FACTOR = 0x9E3779B97F4A7C15L;

  private PromptText() {}

  /** Returns the hash of a whole prompt: the first 16 hexadecimal digits of its SHA-256. */
  public static String hash(String prompt) {
    MessageDigest digest = sha256();
    digest.update(prompt.getBytes(StandardCharsets.UTF_8));
    return shortHex(digest.digest());
  }

  /** Returns the hashes of the prefixes of 256, 512, ... characters of a prompt. */
  public static List<String> prefixHashes(String prompt) {
    List<String> hashes = new ArrayList<>();
    MessageDigest digest = sha256();
    for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
      digest.update(prompt.substring(end - BLOCK_CHARS, end).getBytes(StandardCharsets.UTF_8));
      hashes.add(shortHex(copy(digest).digest()));
    }
    return hashes;
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

  private static MessageDigest copy(MessageDigest digest) {
    try {
      return (MessageDigest) digest.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("the SHA-256 of the platform can be copied", e);
    }
  }
}
