/**
 * Admission control: tiers, the waiting queue, fair queueing between customers and load shedding.
 * The routing package decides which endpoint serves a request.
 */
package org.buckthornferry.admission;
