/** Measurements that run as main classes and print tables. */
package org.buckthornferry.measure;
