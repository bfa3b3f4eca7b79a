package org.gooseberryhill.configuration;

import java.util.HashMap;
import java.util.Map;

/** Checks that no two callers share a key, since a caller may see only its own jobs. Stateless. */
final class UniqueKeyRule implements ConfigurationRule {
    @Override
    public void check(Configuration configuration, YamlNode.Mapping root, Findings findings) {
        Map<String, String> owners = new HashMap<>();
        for (CallerSettings caller : configuration.callers().values()) {
            String owner = owners.putIfAbsent(caller.keySha256(), caller.name());
            if (owner != null && !caller.keySha256().isEmpty()) {
                TextPosition position =
                        ConfigurationRule.positionOf(root, CallersSection.KEY, caller.name(), "key-sha256");
                findings.add(
                        position, CallersSection.KEY + "." + caller.name() + ".key-sha256", "caller.key-taken", owner);
            }
        }
    }
}
