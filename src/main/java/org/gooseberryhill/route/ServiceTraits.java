package org.gooseberryhill.route;

import java.util.Optional;

/**
 * A service that routes lead to. Immutable.
 *
 * @param name its name
 * @param healthPath the path at which an endpoint tells its health
 * @param maxConnections the most connections that one endpoint takes from all callers together
 * @param engine present for a model service
 */
public record ServiceTraits(String name, String healthPath, int maxConnections, Optional<EngineTraits> engine) {}
