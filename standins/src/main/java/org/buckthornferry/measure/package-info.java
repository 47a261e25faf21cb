/**
 * Measurements of the library against simple baselines, as runnable classes. They print figures and
 * decide nothing.
 */
package org.buckthornferry.measure;
