/**
 * Decides which request goes to which endpoint, which waits, and which is refused, without any
 * network: order of waiting requests, choice of endpoints by learned speed, and the bounds on cold
 * endpoints, second attempts and customers' allowances. Classes are used by one thread.
 */
package org.buckthornferry.dispatch;
