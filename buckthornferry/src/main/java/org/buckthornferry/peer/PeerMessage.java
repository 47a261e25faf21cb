package org.buckthornferry.peer;

/** A message between two instances. Every implementation is an immutable record. */
public interface PeerMessage {}
