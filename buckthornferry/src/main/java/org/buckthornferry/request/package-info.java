/**
 * The identity of a request and what is known about its run. This package decides whether a request
 * may be dispatched, so that a non-idempotent request runs at most once and a repeat gets the first
 * response, the running stream or a truthful "unknown". It also matches the parts of responses to
 * requests. It does not choose endpoints and does not talk to callers.
 */
package org.buckthornferry.request;
