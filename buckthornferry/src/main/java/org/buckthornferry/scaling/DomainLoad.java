package org.buckthornferry.scaling;

/**
 * The load of a service in one failure domain over the last second. Immutable.
 *
 * @param demand the demand at the instances of the domain
 * @param serving the endpoints in the domain that accept requests
 */
public record DomainLoad(DemandRate demand, int serving) {}
