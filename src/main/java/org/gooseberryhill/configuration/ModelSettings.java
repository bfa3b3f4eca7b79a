package org.gooseberryhill.configuration;

import java.util.List;

/**
 * A model that endpoints hold. Immutable.
 *
 * @param name its name, as callers give it
 * @param version the version that endpoints shall hold
 * @param adapters the adapters that endpoints shall hold
 */
public record ModelSettings(String name, String version, List<String> adapters) {}
