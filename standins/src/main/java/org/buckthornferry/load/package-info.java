/**
 * The load tool: sends a scenario in an open loop, checks every answer whole, measures goodput and
 * latency from the intended start, and checks the recorded history against the invariants.
 */
package org.buckthornferry.load;
