package org.buckthornferry.node;

import java.util.function.Function;
import org.buckthornferry.duty.DutyBounds;
import org.buckthornferry.duty.DutyPlatform;
import org.buckthornferry.http.HttpConnector;

/**
 * The duties towards the platform that one instance at a time performs.
 *
 * @param reportsUsage whether the usage of each window is reported
 * @param ordersEndpoints whether the number of endpoints is ordered
 * @param platform creates the client of the platform from a connector
 */
public record DutySettings(
    boolean reportsUsage,
    boolean ordersEndpoints,
    DutyBounds bounds,
    Function<HttpConnector, DutyPlatform> platform) {}
