/**
 * Instance settings, service declarations and their validation, and the publication and
 * distribution of configuration revisions. The package that owns a subject, such as rollouts, acts
 * on its declarations.
 */
package org.buckthornferry.config;
