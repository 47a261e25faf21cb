package org.buckthornferry.dispatch;

/**
 * A prompt prefix that other requests may share. An engine that has read it recently has it in its
 * prefix cache and does not read it again.
 *
 * @param rootId identifies the first part of the prompt
 * @param branchId identifies the second part, or the first one when there is only one
 * @param tokens the number of tokens of the first part
 */
public record PromptPrefix(String rootId, String branchId, long tokens) {
  /** No shared prefix is known. */
  public static final PromptPrefix NONE = new PromptPrefix("", "", 0);

  boolean isKnown() {
    return tokens > 0;
  }
}
