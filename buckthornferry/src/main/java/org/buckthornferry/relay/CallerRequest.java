package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.request.ContentHash;

/**
 * A request as a caller sent it.
 *
 * @param requestId the caller's id of this attempt
 * @param uri path and query, unchanged
 * @param forwarded the header fields that go on to an endpoint
 * @param timeBudgetMillis how long the caller waits, if it says so
 * @param customerKey the key that names the customer
 * @param promptTokens the tokens of the prompt; 0 when not stated
 * @param outputTokens the most tokens of the answer; 0 when not stated
 * @param expectedOutputTokens the caller's guess of the answer's length; 0 when not stated
 * @param totalTokens what the request counts towards an allowance; negative when not stated
 * @param sharedPrompt the beginning of the prompt that other requests may have too
 * @param lastEventId the event after which a stream goes on
 */
@SuppressWarnings("ArrayRecordComponent") // The body is handed on and never changed.
public record CallerRequest(
    String requestId,
    String method,
    String uri,
    String host,
    HttpHeaders forwarded,
    byte[] body,
    OptionalLong timeBudgetMillis,
    Optional<String> customerKey,
    long promptTokens,
    long outputTokens,
    long expectedOutputTokens,
    long totalTokens,
    PromptPrefix sharedPrompt,
    Optional<String> lastEventId) {

  /** Returns the path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /**
   * Returns a hash of what is asked and by whom, in hexadecimal digits. All attempts of a caller at
   * the same request have the same, whatever their ids.
   */
  String contentHash(Optional<Customer> customer) {
    String asker = customer.map(Customer::name).orElse("");
    return ContentHash.of(asker + " " + method + " " + host + uri, body).hex();
  }
}
