/**
 * State and limits that the instances of a deployment share: the configuration in force, the
 * endpoints that may get requests, the live instances, and the division of fleet-wide bounds among
 * them. The shared store is the source of truth; an instance that cannot reach it falls back to its
 * peers.
 */
package org.buckthornferry.fleet;
