/**
 * Which endpoint runs a request, and when: the front of admission, endpoint knowledge and capacity
 * for the request path. How a request travels to the endpoint is decided elsewhere.
 */
package org.buckthornferry.routing;
