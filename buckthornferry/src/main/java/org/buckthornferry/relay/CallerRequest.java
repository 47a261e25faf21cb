package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.request.ContentHash;

/**
 * A decoded caller request.
 *
 * @param requestId the id that the caller assigned to this attempt
 * @param uri path and query, unchanged
 * @param forwardedHeaders the header fields that are forwarded to the endpoint
 * @param timeBudgetMillis how long the caller waits for the response, if stated
 * @param customerKey the API key that identifies the customer
 * @param promptTokens the number of prompt tokens; 0 if not stated
 * @param maxOutputTokens the maximum number of output tokens; 0 if not stated
 * @param expectedOutputTokens the caller's estimate of the output tokens; 0 if not stated
 * @param totalTokens the tokens charged to the customer's rate limit; negative if not stated
 * @param promptPrefix the prompt prefix that other requests may share
 * @param promptPartIds the ids of all parts of the prompt, in order; the last part belongs to this
 *     request or its session alone
 * @param lastEventId the id of the event after which the stream resumes
 */
@SuppressWarnings("ArrayRecordComponent") // The body is passed on and never modified.
public record CallerRequest(
    String requestId,
    String method,
    String uri,
    String host,
    HttpHeaders forwardedHeaders,
    byte[] body,
    OptionalLong timeBudgetMillis,
    Optional<String> customerKey,
    long promptTokens,
    long maxOutputTokens,
    long expectedOutputTokens,
    long totalTokens,
    PromptPrefix promptPrefix,
    List<String> promptPartIds,
    Optional<String> lastEventId) {

  /** Copies the part ids. */
  public CallerRequest {
    promptPartIds = List.copyOf(promptPartIds);
  }

  /** Returns the path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /** Returns the ids of the parts of the prompt that other requests may share. */
  List<String> sharedPartIds() {
    return promptPartIds.subList(0, Math.max(0, promptPartIds.size() - 1));
  }

  /**
   * Returns the hash of customer, method, URI and body in hexadecimal. It does not cover the
   * request id, so that all attempts of a caller at the same request have the same hash.
   */
  String contentHash(Optional<Customer> customer) {
    String customerName = customer.map(Customer::name).orElse("");
    return ContentHash.of(customerName + " " + method + " " + host + uri, body).hex();
  }
}
