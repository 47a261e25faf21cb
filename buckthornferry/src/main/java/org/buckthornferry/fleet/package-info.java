/**
 * What the instances of a deployment know together: the configuration in force, the endpoints that
 * may get requests, the live instances and how bounds over all of them are divided. The store is
 * the source; an instance that the store turns away asks other instances.
 */
package org.buckthornferry.fleet;
