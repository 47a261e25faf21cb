/**
 * The closed list of error kinds and the answer that a caller gets for each. Other packages choose
 * a kind; only this package decides what the kind means to the caller.
 */
package org.buckthornferry.error;
