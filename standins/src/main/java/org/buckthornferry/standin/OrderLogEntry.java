package org.buckthornferry.standin;

/**
 * An order that an endpoint received.
 *
 * @param fencing the {@code Endpoint-Fencing} number; 0 when absent
 * @param accepted whether the endpoint executed it
 */
record OrderLogEntry(Order order, long fencing, boolean accepted, long atMillis) {}
