package org.buckthornferry.dispatch;

/**
 * The beginning of a prompt that other requests have too. An engine that has read it lately does
 * not read it again.
 *
 * @param rootId names the first part of the prompt
 * @param branchId names the second part, or the first one again when there is only one
 * @param tokens the tokens of the first part
 */
public record PromptPrefix(String rootId, String branchId, long tokens) {
  /** Nothing is known to be shared. */
  public static final PromptPrefix NONE = new PromptPrefix("", "", 0);

  boolean isKnown() {
    return tokens > 0;
  }
}
