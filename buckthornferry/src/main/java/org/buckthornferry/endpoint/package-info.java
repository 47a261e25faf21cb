/**
 * What is known about endpoints: health and cold start, stragglers, quarantined content, learned
 * cost and speed, and the prefix index. How much an endpoint may run is decided by the capacity
 * package, and which endpoint runs a request by the routing package.
 */
package org.buckthornferry.endpoint;
