package org.gooseberryhill.decision.promptpart;

import java.util.List;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/**
 * A crash of an endpoint as one host has seen it. Immutable.
 *
 * @param endpoint the endpoint; another start of it is another endpoint
 * @param reporter the host
 * @param atNanos when it crashed, in nanoseconds
 * @param runs the requests that the host had in flight there
 */
public record EndpointCrash(EndpointKey endpoint, HostId reporter, long atNanos, List<CrashedRun> runs) {}
