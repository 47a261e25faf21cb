package org.buckthornferry.rollout;

/**
 * From when on a new version is at fault.
 *
 * @param maxFailureShare the share of failed requests above the old version's
 * @param slowRise the share of the old version's timely requests that are slow at the new one
 */
record FaultTerms(double maxFailureShare, double slowRise) {}
