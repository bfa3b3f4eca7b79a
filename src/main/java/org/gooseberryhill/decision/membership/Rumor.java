package org.gooseberryhill.decision.membership;

import org.gooseberryhill.host.HostId;

/**
 * A claim about a host's state, which hosts pass on to each other with their heartbeats. Immutable.
 *
 * @param host the host that the claim is about
 * @param state its claimed state
 * @param incarnation the incarnation of the host that the state belongs to
 */
public record Rumor(HostId host, HostState state, long incarnation) {}
