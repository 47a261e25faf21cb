package org.buckthornferry.rollout;

/**
 * The thresholds above which a new version is considered faulty.
 *
 * @param maxFailureShare the increase of the share of failed requests over the old version
 * @param slowShareIncrease the share of requests that are slow at the new version although they
 *     would not be slow at the old one
 */
record FaultThresholds(double maxFailureShare, double slowShareIncrease) {}
