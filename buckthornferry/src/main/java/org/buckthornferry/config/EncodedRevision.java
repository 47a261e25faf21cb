package org.buckthornferry.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.buckthornferry.util.Checks;

/**
 * A revision with its encoding in the store and between instances: gzip-compressed JSON.
 *
 * @param snapshot the decoded revision
 * @param recentAttemptIds the attempt ids of the preceding publishes, newest first; an operator
 *     whose response was lost finds its publish here when a later revision was built on it
 * @param bytes the encoded form; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by revision number, never by bytes.
public record EncodedRevision(
    ConfigSnapshot snapshot, List<String> recentAttemptIds, byte[] bytes) {
  /** The store key of the current revision. */
  public static final String KEY = "config/current";

  /** The state before the first publish; its bytes are empty. */
  public static final EncodedRevision NONE =
      new EncodedRevision(ConfigSnapshot.NONE, List.of(), new byte[0]);

  /** The largest encoded revision, in bytes; the store's limit on the size of a value. */
  public static final int MAX_ENCODED_BYTES = 1 << 20;

  /** The largest revision as JSON, in bytes; limits the memory used to decode a malicious value. */
  static final int MAX_JSON_BYTES = 32 << 20;

  private static final int MAX_RECENT_ATTEMPTS = 32;

  private record Document(
      long revision, String attemptId, List<String> recentAttemptIds, Declarations declarations) {}

  /** Copies the list. */
  public EncodedRevision {
    Checks.notNull(snapshot, "snapshot");
    recentAttemptIds = List.copyOf(recentAttemptIds);
    Checks.notNull(bytes, "bytes");
  }

  /** Returns the revision that follows this one. */
  public EncodedRevision next(String attemptId, Declarations declarations) {
    List<String> recent = recentAttemptIds;
    if (snapshot.revision() > 0) {
      recent = new ArrayList<>();
      recent.add(snapshot.attemptId());
      recent.addAll(recentAttemptIds);
      recent = recent.subList(0, Math.min(MAX_RECENT_ATTEMPTS, recent.size()));
    }
    Document document = new Document(snapshot.revision() + 1, attemptId, recent, declarations);
    byte[] bytes = compress(document);
    return new EncodedRevision(
        new ConfigSnapshot(document.revision, attemptId, declarations, digestOf(bytes)),
        recent,
        bytes);
  }

  /**
   * Decodes a revision.
   *
   * @throws ConfigException when the bytes are not an encoded revision
   */
  public static EncodedRevision decode(byte[] bytes) {
    Checks.notNull(bytes, "bytes");
    try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] json = in.readNBytes(MAX_JSON_BYTES + 1);
      if (json.length > MAX_JSON_BYTES) {
        throw invalid("more than " + MAX_JSON_BYTES + " bytes of JSON");
      }
      Document document = Json.MAPPER.readValue(json, Document.class);
      if (document == null || document.recentAttemptIds == null) {
        throw invalid("an incomplete document");
      }
      return new EncodedRevision(
          new ConfigSnapshot(
              document.revision, document.attemptId, document.declarations, digestOf(bytes)),
          document.recentAttemptIds,
          bytes);
    } catch (IOException | IllegalArgumentException e) {
      throw invalid(String.valueOf(e.getMessage()));
    }
  }

  /** Returns whether this revision contains the publish with this attempt id. */
  public boolean includes(String attemptId) {
    return snapshot.attemptId().equals(attemptId) || recentAttemptIds.contains(attemptId);
  }

  /** Returns the first 8 bytes of the SHA-256 hash of an encoded revision. */
  static long digestOf(byte[] bytes) {
    try {
      return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  private static byte[] compress(Document document) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
      gzip.write(Json.MAPPER.writeValueAsBytes(document));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static ConfigException invalid(String reason) {
    return new ConfigException(
        List.of(new ConfigProblem(KEY, "$", reason, "a revision written by publish")));
  }
}
