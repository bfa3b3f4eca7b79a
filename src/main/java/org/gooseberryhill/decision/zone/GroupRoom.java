package org.gooseberryhill.decision.zone;

import org.gooseberryhill.directory.EndpointGroup;

/**
 * The number of requests of another zone that a group takes. Immutable.
 *
 * @param group the group
 * @param requests number of requests
 */
public record GroupRoom(EndpointGroup group, int requests) {}
