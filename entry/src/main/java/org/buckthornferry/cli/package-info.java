/** The command line: one class for each sub-command, and the exit codes that they share. */
package org.buckthornferry.cli;
