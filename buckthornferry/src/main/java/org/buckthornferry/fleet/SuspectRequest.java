package org.buckthornferry.fleet;

import java.util.List;

/**
 * A request that may have crashed the endpoint process that was serving it.
 *
 * @param contentHash identifies the whole content, so that retries of a request count once
 * @param sentNanos when it was sent to the process
 * @param partIds the parts of its prompt that other requests may share
 */
public record SuspectRequest(String contentHash, long sentNanos, List<String> partIds) {
  /** Maximum number of parts of a request that are considered, a bound on memory and messages. */
  private static final int MAX_PARTS = 512;

  /** Maximum length of a part's id in characters; longer ones are not considered. */
  private static final int MAX_ID_LENGTH = 256;

  /** Copies the parts. */
  public SuspectRequest {
    partIds = partIds.stream().filter(id -> id.length() <= MAX_ID_LENGTH).limit(MAX_PARTS).toList();
  }
}
