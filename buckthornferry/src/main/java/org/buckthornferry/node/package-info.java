/**
 * The wiring of one instance: the path of a request from the caller's connection to an endpoint and
 * back, and the start and stop of every service. Decisions are made by the packages it connects.
 */
package org.buckthornferry.node;
