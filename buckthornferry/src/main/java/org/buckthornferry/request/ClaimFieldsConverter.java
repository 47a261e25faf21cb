package org.buckthornferry.request;

import org.buckthornferry.peer.ClaimFields;

/** Converts between the types of this package and {@link ClaimFields} of peer messages. */
final class ClaimFieldsConverter {
  private ClaimFieldsConverter() {}

  static ClaimFields fields(
      RequestIdentity identity, ContentHash content, boolean idempotent, ClaimToken token) {
    return new ClaimFields(
        identity.customer(),
        identity.key(),
        content.high(),
        content.low(),
        idempotent,
        token.instanceId(),
        token.incarnation(),
        token.number());
  }

  static RequestIdentity identityOf(ClaimFields fields) {
    return new RequestIdentity(fields.customer(), fields.key());
  }

  static ContentHash contentOf(ClaimFields fields) {
    return new ContentHash(fields.contentHashHigh(), fields.contentHashLow());
  }

  static ClaimToken tokenOf(ClaimFields fields) {
    return new ClaimToken(fields.holderId(), fields.holderIncarnation(), fields.tokenNumber());
  }
}
