package org.gooseberryhill.configuration;

import java.util.Optional;
import java.util.Set;

/** Checks that every service and model that is referred to exists. Stateless. */
final class ReferencesRule implements ConfigurationRule {
    @Override
    public void check(Configuration configuration, YamlNode.Mapping root, Findings findings) {
        Set<String> services = configuration.services().keySet();
        Set<String> models = configuration.models().keySet();
        for (ServiceSettings service : configuration.services().values()) {
            Optional<String> unknown = service.model().filter(model -> !models.contains(model));
            if (unknown.isPresent()) {
                TextPosition position =
                        ConfigurationRule.positionOf(root, ServicesSection.KEY, service.name(), "model");
                String key = ServicesSection.KEY + "." + service.name() + ".model";
                findings.add(position, key, "reference.model", unknown.get(), PropertyReader.sortedList(models));
            }
        }
        for (EndpointSettings endpoint : configuration.endpoints().values()) {
            if (!endpoint.service().isEmpty() && !services.contains(endpoint.service())) {
                TextPosition position =
                        ConfigurationRule.positionOf(root, EndpointsSection.KEY, endpoint.name(), "service");
                String key = EndpointsSection.KEY + "." + endpoint.name() + ".service";
                findings.add(
                        position, key, "reference.service", endpoint.service(), PropertyReader.sortedList(services));
            }
        }
        for (CallerSettings caller : configuration.callers().values()) {
            for (String service : caller.services()) {
                if (!services.contains(service)) {
                    TextPosition position =
                            ConfigurationRule.positionOf(root, CallersSection.KEY, caller.name(), "services");
                    String key = CallersSection.KEY + "." + caller.name() + ".services";
                    findings.add(position, key, "reference.service", service, PropertyReader.sortedList(services));
                }
            }
        }
    }
}
