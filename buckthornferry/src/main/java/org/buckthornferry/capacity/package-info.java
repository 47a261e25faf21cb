/**
 * Limits how much each instance may run on each endpoint. The owner of an endpoint's shard divides
 * the budget into expiring grants ({@link org.buckthornferry.capacity.GrantLedger}); every instance
 * runs requests within what it holds ({@link org.buckthornferry.capacity.GrantHolder}). The size of
 * a budget and the choice of requests are outside this package.
 */
package org.buckthornferry.capacity;
