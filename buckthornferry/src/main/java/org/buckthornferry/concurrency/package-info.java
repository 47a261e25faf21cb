/**
 * Learns from the times of answers how fast an endpoint is and how many requests it serves well.
 */
package org.buckthornferry.concurrency;
