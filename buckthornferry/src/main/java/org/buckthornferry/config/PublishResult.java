package org.buckthornferry.config;

/**
 * The outcome of a publish that took effect.
 *
 * @param revision the revision that contains the published declarations
 * @param attemptId identifies the publish; empty when nothing had to be changed
 * @param changed whether a new revision was stored
 */
public record PublishResult(long revision, String attemptId, boolean changed) {}
