/**
 * One queue for a service's waiting requests over all instances. A coordinator decides which
 * request gets the next slot at which endpoint; instances submit tickets and carry decisions out.
 */
package org.buckthornferry.fleetqueue;
