/**
 * The error kinds and the response that a caller gets for each. Other packages select a kind; only
 * this package maps it to an HTTP status, retry advice and title.
 */
package org.buckthornferry.error;
