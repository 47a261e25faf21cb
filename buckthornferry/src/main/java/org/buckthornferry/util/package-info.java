/** Small helpers shared by every package: argument checks and the clock. */
package org.buckthornferry.util;
