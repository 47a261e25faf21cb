/**
 * Measurements of the library with virtual time, small fakes and fixed seeds. Each main class
 * prints one table of {@code docs/measurements.md}.
 */
package org.buckthornferry.measure;
