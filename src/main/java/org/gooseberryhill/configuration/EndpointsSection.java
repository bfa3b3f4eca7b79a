package org.gooseberryhill.configuration;

import org.gooseberryhill.zone.AvailabilityZone;

/** Reads the section {@code endpoints}. Stateless. */
final class EndpointsSection implements ConfigurationSection<EndpointSettings> {
    static final String KEY = "endpoints";

    private static final int DEFAULT_SLOTS = 8;
    private static final int MAX_SLOTS = 4096;

    @Override
    public String key() {
        return KEY;
    }

    @Override
    public EndpointSettings readEntry(String name, PropertyReader entry) {
        entry.allowOnly("service", "address", "zone", "slots", "checks-fences", "leaving");
        return new EndpointSettings(
                name,
                entry.requiredText("service"),
                entry.requiredAddress("address"),
                new AvailabilityZone(entry.requiredText("zone")),
                entry.number("slots", DEFAULT_SLOTS, 1, MAX_SLOTS),
                entry.flag("checks-fences", false),
                entry.flag("leaving", false));
    }
}
