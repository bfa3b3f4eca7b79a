package org.gooseberryhill.configuration;

/** Checks that each service has an endpoint; without one, all its requests would be refused. Stateless. */
final class ServiceHasEndpointRule implements ConfigurationRule {
    @Override
    public void check(Configuration configuration, YamlNode.Mapping root, Findings findings) {
        for (String service : configuration.services().keySet()) {
            if (configuration.endpointsOf(service).isEmpty()) {
                TextPosition position = ConfigurationRule.positionOf(root, ServicesSection.KEY, service, "kind");
                findings.add(position, ServicesSection.KEY + "." + service, "service.no-endpoint", service);
            }
        }
    }
}
