/**
 * Request scheduling without I/O: the priority queue of waiting requests, the choice of endpoints
 * by measured speed, and the limits on cold endpoints, retries and customers' rates. The classes
 * are not thread-safe; each is used by one thread.
 */
package org.buckthornferry.dispatch;
