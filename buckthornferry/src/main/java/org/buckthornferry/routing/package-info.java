/**
 * Chooses the endpoint and the start time of each request, from admission control, endpoint health
 * and the granted capacity. The transport to the endpoint is outside this package.
 */
package org.buckthornferry.routing;
