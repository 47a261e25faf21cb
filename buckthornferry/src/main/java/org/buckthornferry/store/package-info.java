/**
 * Access to the platform's key-value service. This package decides how calls are made and how their
 * failures are told apart, not what the keys mean.
 */
package org.buckthornferry.store;
