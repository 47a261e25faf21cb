/**
 * Measurements as runnable main classes. Each runs the controllers of the library under virtual
 * time with a fixed seed and prints a table.
 */
package org.buckthornferry.measure;
