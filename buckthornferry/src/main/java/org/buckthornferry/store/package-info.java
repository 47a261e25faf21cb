/**
 * Clients of the platform's key-value service: calls, watches, and the classification of failures.
 * The meaning of the keys is defined by the packages that use them.
 */
package org.buckthornferry.store;
