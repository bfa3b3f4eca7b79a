package org.gooseberryhill.configuration;

/** A contract for one rule between sections of the text. Implementations are stateless. */
interface ConfigurationRule {
    /** Adds a finding for each place that breaks the rule. */
    void check(Configuration configuration, PlacedNode.Mapping root, Findings findings);

    /** Where a property of a named entry stands; the entry or the text's start if it is not written. */
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
