/**
 * What is deployed: routes, services, customers and endpoints as instances see them. The types are
 * immutable; where they come from is decided elsewhere.
 */
package org.buckthornferry.catalog;
