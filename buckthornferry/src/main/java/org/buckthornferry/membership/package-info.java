/**
 * Which instances are alive, suspect, leaving or dead, as seen by this instance. What follows from
 * a death is decided by the packages that own the affected state.
 */
package org.buckthornferry.membership;
