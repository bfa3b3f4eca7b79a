package org.gooseberryhill.configuration;

/** Checks that each service has an endpoint; without one, all its requests would be refused. Stateless. */
final class ServiceHasEndpointRule implements ConfigurationRule {
    @Override
    public void check(Configuration configuration, PlacedNode.Mapping root, Findings findings) {
        for (String service : configuration.services().keySet()) {
            if (configuration.endpointsOf(service).isEmpty()) {
                Place place = ConfigurationRule.placeOf(root, ServicesSection.KEY, service, "kind");
                findings.add(place, ServicesSection.KEY + "." + service, "service.no-endpoint", service);
            }
        }
    }
}
