/**
 * Assembly and lifecycle of one instance: creates, starts and stops all components and carries each
 * request from the caller's connection to an endpoint and back. Policies are in other packages.
 */
package org.buckthornferry.node;
