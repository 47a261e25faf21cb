/**
 * HTTP/1.1 server for callers and operators, and HTTP/1.1 client for endpoints and the platform.
 * This package enforces limits, framing and back-pressure; it does not interpret requests.
 */
package org.buckthornferry.http;
