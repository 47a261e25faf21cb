/**
 * Stand-ins for the outside systems: the key-value service, model engines, plain services, the
 * instance list and the weight store. Each speaks the published protocol of its system and has
 * faults that are switched by an admin call. Nothing of the scheduler depends on this package.
 */
package org.buckthornferry.standin;
