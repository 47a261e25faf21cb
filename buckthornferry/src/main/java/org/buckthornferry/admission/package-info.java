/**
 * Which request is served next and which is refused: tiers, the waiting queue, fairness between
 * customers and the shed level. Which endpoint serves a request is decided elsewhere.
 */
package org.buckthornferry.admission;
