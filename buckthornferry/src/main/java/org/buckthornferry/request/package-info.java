/**
 * Idempotency keys: request identities, the claims that record their state, and response
 * reassembly. This package decides whether a request may be dispatched: a non-idempotent request
 * runs at most once, and a retry gets the first response, the running stream or the outcome
 * "unknown". It does not choose endpoints and does not communicate with callers.
 */
package org.buckthornferry.request;
