package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A checked configuration. Immutable and thread-safe; every reference in it holds.
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
    /** A configuration without anything, in force until the first one arrives. */
    public static final Configuration EMPTY = new Configuration(Map.of(), Map.of(), Map.of(), Map.of());

    /** The service that answers for a model's name; the first by name if several do. */
    public Optional<ServiceSettings> serviceOfModel(String model) {
        return services.values().stream()
                .filter(service -> service.model().equals(Optional.of(model)))
                .findFirst();
    }

    /** The caller with a key of this hash. */
    public Optional<CallerSettings> callerWithKeyHash(String keySha256) {
        return callers.values().stream()
                .filter(caller -> caller.keySha256().equals(keySha256))
                .findFirst();
    }

    /** The endpoints of a service, in the order of the text. */
    public List<EndpointSettings> endpointsOf(String service) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(service))
                .toList();
    }
}
