package org.gooseberryhill.configuration;

/** A validation rule that spans sections of the configuration. Implementations are stateless. */
interface ConfigurationRule {
    /** Adds a finding for each violation of the rule. */
    void check(Configuration configuration, YamlNode.Mapping root, Findings findings);

    /**
     * Returns the position of a property's value, or of the closest enclosing node if the text does not contain the value.
     */
    static TextPosition positionOf(YamlNode.Mapping root, String section, String name, String property) {
        YamlNode.Mapping current = root;
        for (String key : new String[] {section, name}) {
            YamlNode next = current.entries().get(key);
            if (!(next instanceof YamlNode.Mapping mapping)) {
                return next == null ? current.position() : next.position();
            }
            current = mapping;
        }
        YamlNode value = current.entries().get(property);
        return value == null ? current.position() : value.position();
    }
}
