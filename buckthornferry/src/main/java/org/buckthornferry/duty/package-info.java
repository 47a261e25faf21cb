/**
 * Duties towards the platform that one instance at a time performs: the election of the holder
 * through the shared store, and the usage reports.
 */
package org.buckthornferry.duty;
