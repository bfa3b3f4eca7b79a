package org.gooseberryhill.configuration;

/** A validation rule that spans sections of the configuration. Implementations are stateless. */
interface ConfigurationRule {
    /** Adds a finding for each violation of the rule. */
    void check(Configuration configuration, PlacedNode.Mapping root, Findings findings);

    /**
     * Returns the position of a property's value; that of the closest enclosing node if the text does not contain it.
     */
    static Place placeOf(PlacedNode.Mapping root, String section, String name, String property) {
        PlacedNode.Mapping current = root;
        for (String key : new String[] {section, name}) {
            PlacedNode next = current.entries().get(key);
            if (!(next instanceof PlacedNode.Mapping mapping)) {
                return next == null ? current.place() : next.place();
            }
            current = mapping;
        }
        PlacedNode value = current.entries().get(property);
        return value == null ? current.place() : value.place();
    }
}
