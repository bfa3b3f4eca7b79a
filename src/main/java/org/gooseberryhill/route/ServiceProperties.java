package org.gooseberryhill.route;

import java.util.Optional;

/**
 * Properties of a service that routes refer to. Immutable.
 *
 * @param name name of the service
 * @param healthPath path at which an endpoint reports its health
 * @param maxConnections maximum number of connections that one endpoint accepts from all callers together
 * @param engine properties of the endpoints of a model service; empty for other services
 */
public record ServiceProperties(
        String name, String healthPath, int maxConnections, Optional<EngineProperties> engine) {}
