package org.gooseberryhill.configuration;

import java.util.List;

/**
 * The settings of a model that endpoints load. Immutable.
 *
 * @param name the name by which callers request it
 * @param version the version that endpoints must have loaded
 * @param adapters the adapters that endpoints must have loaded
 */
public record ModelSettings(String name, String version, List<String> adapters) {}
