/**
 * Messages between instances, their encoding and the connections between peers. The handling of the
 * messages is implemented by the packages that receive them.
 */
package org.buckthornferry.peer;
