/**
 * What operators declare and how it reaches every instance: settings of one process, declarations
 * of services, their validation, and configuration revisions. What follows from a declaration is
 * decided by the package of its subject.
 */
package org.buckthornferry.config;
