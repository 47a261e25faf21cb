/**
 * HTTP/1.1 on both sides of an instance: the server for callers and operators, and the client for
 * endpoints and the platform. This package decides limits, framing and back-pressure; what a
 * request means is decided elsewhere.
 */
package org.buckthornferry.http;
