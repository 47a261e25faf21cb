/**
 * Decides how many endpoints of a service run in each failure domain, from the demand that all
 * instances measure, and orders them from the platform.
 */
package org.buckthornferry.scaling;
