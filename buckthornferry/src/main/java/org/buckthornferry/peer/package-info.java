/**
 * Messages between instances, their encoding and the connections that carry them. This package
 * decides how messages travel, not what they mean.
 */
package org.buckthornferry.peer;
