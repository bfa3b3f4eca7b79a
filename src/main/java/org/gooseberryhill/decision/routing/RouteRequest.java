package org.gooseberryhill.decision.routing;

import java.util.Set;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * What matters about a request for choosing its endpoint. Immutable.
 *
 * @param entryZone where the entry host runs
 * @param prefixHash a hash of the prompt's beginning, equal for requests that could share a cached prefix
 * @param tried endpoints that failed the request already
 */
public record RouteRequest(AvailabilityZone entryZone, long prefixHash, Set<String> tried) {}
