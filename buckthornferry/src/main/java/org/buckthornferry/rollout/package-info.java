/**
 * Rollouts of a service from one version to another: the share of requests of each version, the
 * evidence about the new version, and whether the rollout completes or is rolled back. The routing
 * and dispatch packages choose the endpoint of a permitted version.
 */
package org.buckthornferry.rollout;
