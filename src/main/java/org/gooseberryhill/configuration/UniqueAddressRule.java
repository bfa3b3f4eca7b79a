package org.gooseberryhill.configuration;

import java.util.HashMap;
import java.util.Map;
import org.gooseberryhill.link.Address;

/** Checks that no two endpoints share an address, since slots are counted per endpoint. Stateless. */
final class UniqueAddressRule implements ConfigurationRule {
    @Override
    public void check(Configuration configuration, YamlNode.Mapping root, Findings findings) {
        Map<Address, String> owners = new HashMap<>();
        for (EndpointSettings endpoint : configuration.endpoints().values()) {
            if (endpoint.address().equals(PropertyReader.PLACEHOLDER_ADDRESS)) {
                continue;
            }
            String owner = owners.putIfAbsent(endpoint.address(), endpoint.name());
            if (owner != null) {
                TextPosition position =
                        ConfigurationRule.positionOf(root, EndpointsSection.KEY, endpoint.name(), "address");
                String key = EndpointsSection.KEY + "." + endpoint.name() + ".address";
                findings.add(position, key, "endpoint.address-taken", endpoint.address(), owner);
            }
        }
    }
}
