/**
 * The single control thread of an instance and the blackboard, the state that controllers share on
 * that thread. This package schedules the controllers; other packages implement them.
 */
package org.buckthornferry.control;
