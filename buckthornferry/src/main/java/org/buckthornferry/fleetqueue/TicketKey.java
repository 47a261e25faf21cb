package org.buckthornferry.fleetqueue;

/** Identifies a ticket among those of all instances. */
record TicketKey(String instanceId, long number) {}
