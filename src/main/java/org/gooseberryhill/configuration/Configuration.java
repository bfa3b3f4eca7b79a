package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A validated configuration: every service and model that it refers to exists. Immutable and thread-safe.
 *
 * @param models the models by name
 * @param services the services by name
 * @param endpoints the endpoints by name
 * @param callers the callers by name
 */
public record Configuration(
        Map<String, ModelSettings> models,
        Map<String, ServiceSettings> services,
        Map<String, EndpointSettings> endpoints,
        Map<String, CallerSettings> callers) {
    /** The empty configuration, in force until the first one is received. */
    public static final Configuration EMPTY = new Configuration(Map.of(), Map.of(), Map.of(), Map.of());

    /** Returns the service that serves a model; the first in the order of {@link #services} if there are several. */
    public Optional<ServiceSettings> serviceOfModel(String model) {
        return services.values().stream()
                .filter(service -> service.model().equals(Optional.of(model)))
                .findFirst();
    }

    /** Returns the caller whose bearer key has this SHA-256. */
    public Optional<CallerSettings> callerWithKeyHash(String keySha256) {
        return callers.values().stream()
                .filter(caller -> caller.keySha256().equals(keySha256))
                .findFirst();
    }

    /** Returns the endpoints of a service, in the order of the text. */
    public List<EndpointSettings> endpointsOf(String service) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(service))
                .toList();
    }
}
