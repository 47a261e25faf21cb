/**
 * How much each instance may run on each endpoint. The owner of an endpoint's shard divides the
 * budget into expiring grants ({@link org.buckthornferry.capacity.GrantLedger}); every instance
 * runs requests within what it holds ({@link org.buckthornferry.capacity.GrantHolder}). What the
 * budget is and which request uses it is decided elsewhere.
 */
package org.buckthornferry.capacity;
