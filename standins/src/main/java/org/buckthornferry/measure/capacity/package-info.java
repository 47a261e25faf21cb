/** Measurements of shard ownership and grants: usable capacity, control traffic, store calls. */
package org.buckthornferry.measure.capacity;
