/**
 * Failure detection and gossip: which instances are alive, suspect, leaving or dead in the view of
 * this instance. The packages that own the affected state decide how to react to a death.
 */
package org.buckthornferry.membership;
