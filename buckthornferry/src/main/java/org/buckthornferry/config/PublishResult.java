package org.buckthornferry.config;

/**
 * The outcome of a successful publish.
 *
 * @param revision the revision that contains the published declarations
 * @param attemptId identifies the publish; empty when there was nothing to change
 * @param changed whether a new revision was stored
 */
public record PublishResult(long revision, String attemptId, boolean changed) {}
