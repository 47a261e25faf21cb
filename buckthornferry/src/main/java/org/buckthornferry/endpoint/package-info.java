/**
 * The state of endpoints: health and cold start, stragglers, quarantined content, estimated cost
 * and speed, and the prefix index. The capacity package decides how much an endpoint may run, and
 * the routing package decides which endpoint runs a request.
 */
package org.buckthornferry.endpoint;
