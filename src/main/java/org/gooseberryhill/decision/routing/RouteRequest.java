package org.gooseberryhill.decision.routing;

import java.util.Set;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * The properties of a request that determine its endpoint. Immutable.
 *
 * @param entryZone the availability zone of the entry host
 * @param prefixHash a hash of the prompt's prefix, equal for requests that can share a cached prefix; 0 for none
 * @param requestHash a hash of the whole request, equal on all hosts for equal requests
 * @param tried the names of endpoints at which the request has already failed
 */
public record RouteRequest(AvailabilityZone entryZone, long prefixHash, long requestHash, Set<String> tried) {}
