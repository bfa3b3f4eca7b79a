package org.gooseberryhill.decision.membership;

import org.gooseberryhill.host.HostId;

/**
 * What a host has heard of another. Immutable.
 *
 * @param host the host spoken of
 * @param state its state
 * @param incarnation the incarnation that the state belongs to
 */
public record Rumor(HostId host, HostState state, long incarnation) {}
