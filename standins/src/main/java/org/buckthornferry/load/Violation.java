package org.buckthornferry.load;

/**
 * A broken invariant.
 *
 * @param invariant the id in section 1.2 of the design page, such as {@code P1}
 * @param subject the request, endpoint or failure domain
 */
public record Violation(String invariant, String subject, String detail) {}
