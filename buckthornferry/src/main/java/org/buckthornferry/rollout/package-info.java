/**
 * Moves of a service from one version to another: the share that each version gets, the evidence
 * for and against the new version, and whether the move is done or taken back. Which endpoint of an
 * allowed version serves a request is decided elsewhere.
 */
package org.buckthornferry.rollout;
