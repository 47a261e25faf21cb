/**
 * The blackboard and the single control thread of an instance. Controllers read and write the
 * blackboard on that thread; this package decides when they run, not what they decide.
 */
package org.buckthornferry.control;
