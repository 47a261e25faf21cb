/** Utilities shared by all packages: argument checks, clocks, hashing, futures and scheduling. */
package org.buckthornferry.util;
