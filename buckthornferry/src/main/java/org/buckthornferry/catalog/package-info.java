/**
 * The deployment model: routes, services, customers and endpoints. The types are immutable and do
 * not depend on the source of the configuration.
 */
package org.buckthornferry.catalog;
