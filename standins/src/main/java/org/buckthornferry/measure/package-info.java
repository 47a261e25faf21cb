/**
 * Measurements of the decision classes in virtual time, with small fakes of engines, services and
 * the network between instances, and benchmarks of single decisions.
 */
package org.buckthornferry.measure;
