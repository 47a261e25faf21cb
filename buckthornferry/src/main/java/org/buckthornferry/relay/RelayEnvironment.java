package org.buckthornferry.relay;

import java.util.function.BiFunction;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.duty.UsageCounter;
import org.buckthornferry.fleet.ContentQuarantine;
import org.buckthornferry.fleet.EndpointLimits;
import org.buckthornferry.fleet.PartQuarantine;
import org.buckthornferry.fleet.RolloutCoordinator;
import org.buckthornferry.fleetqueue.QueueClient;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.scaling.DemandCounter;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** The components that all requests of an instance share. */
record RelayEnvironment(
    Blackboard blackboard,
    HttpConnector connector,
    ContentQuarantine quarantine,
    PartQuarantine partQuarantine,
    RolloutCoordinator rollouts,
    EndpointLimits limits,
    UsageCounter usage,
    DemandCounter demand,
    CallerProtocol callers,
    EndpointProtocol endpoints,
    Scheduler scheduler,
    MonotonicClock clock,
    RelayMetrics metrics,
    BiFunction<String, QueueClient.Listener, QueueClient> queueClients) {}
